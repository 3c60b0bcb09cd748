package io.stackhall.core.stream;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.stream.TakeUp.Evidence;
import io.stackhall.core.stream.TakeUp.Reason;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One question for the origin of a stream that its caller takes up, put to every control host that
 * is connected or becomes so while the question is open.
 *
 * <p>A record decides at once. Without one the stream goes on only if its service has had a single
 * version for as long as the stream can have lived. One version in this host's sight proves
 * nothing: more than half of the voters of the control group must have seen no other, and a control
 * host must have watched for that long with all others in reach. While that is not so, a control
 * host whose connection has just been reset may still know the stream, so it is waited for.
 */
public final class OriginInquiry {

    private final Set<HostId> outstanding = new HashSet<>();
    private final Optional<ServiceName> service;
    private final Duration life;
    private VersionsSeen seen;
    private final Set<HostId> answeredVoters = new HashSet<>();
    private int voters;

    /**
     * Creates a question.
     *
     * @param service the service that the stream began at, if its route leads to one only
     * @param life the longest time since the stream can have begun
     * @param own what this host has seen of the service
     */
    public OriginInquiry(Optional<ServiceName> service, Duration life, VersionsSeen own) {
        this.service = service;
        this.life = life;
        // An entry host hears of versions through control hosts, of which some may be cut off.
        this.seen = own.unwatched();
    }

    /** Records that the question was sent to a control host, perhaps once more. */
    public void sent(HostId host) {
        outstanding.add(host);
    }

    /**
     * Records the answer of a control host.
     *
     * @return the decision, empty while further answers may decide otherwise
     */
    public Optional<TakeUp> answer(HostId host, OriginAnswer answer) {
        if (!outstanding.remove(host)) {
            return Optional.empty();
        }
        if (answer.voters() > 0) {
            answeredVoters.add(host);
            voters = Math.max(voters, answer.voters());
        }
        seen = seen.and(answer.seen());
        return switch (answer.lookup()) {
            case OriginLookup.Known(StreamOrigin origin) ->
                    Optional.of(new TakeUp.GoOn(origin, Evidence.RECORD));
            case OriginLookup.Contradictory() ->
                    Optional.of(new TakeUp.Refused(Reason.CONTRADICTORY));
            case OriginLookup.Unknown() -> decideWithoutRecord();
        };
    }

    private Optional<TakeUp> decideWithoutRecord() {
        boolean complete =
                outstanding.isEmpty() && (isSoleVersionProved() || allVotersHaveAnswered());
        return complete ? Optional.of(conclude()) : Optional.empty();
    }

    private boolean allVotersHaveAnswered() {
        return voters > 0 && answeredVoters.size() >= voters;
    }

    /** Decides by the answers so far, after further ones have been waited for. */
    public TakeUp conclude() {
        return isSoleVersionProved()
                ? new TakeUp.GoOn(
                        new StreamOrigin(service.orElseThrow(), seen.versions().iterator().next()),
                        Evidence.SOLE_VERSION)
                : new TakeUp.Refused(Reason.UNKNOWN);
    }

    private boolean isSoleVersionProved() {
        boolean majority = answeredVoters.size() * 2 > voters;
        return majority
                && service.isPresent()
                && !seen.mayMix()
                && !seen.versions().isEmpty()
                && seen.watched().compareTo(life) >= 0;
    }
}
