package io.stackhall.core.stream;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.stream.TakeUp.Evidence;
import io.stackhall.core.stream.TakeUp.Reason;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One question for the origin of a stream that its caller takes up, put to every control host that
 * is connected or becomes so while the question is open.
 *
 * <p>A record decides at once. Without one the stream goes on only if its service has had a single
 * version for as long as the stream can have lived. An entry host uses what some control host has
 * told it, and a control host that is cut off looks connected to others for some time. So every
 * control host must answer for itself that it has told of no other version, and has watched for
 * that long. While that is not so, one whose connection has just been reset may still know the
 * stream, so it is waited for.
 */
public final class OriginInquiry {

    private final Set<HostId> outstanding = new HashSet<>();
    private final Set<HostId> unheard;
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
     * @param controlHosts the control hosts that this host knows, whether connected or not
     */
    public OriginInquiry(
            Optional<ServiceName> service,
            Duration life,
            VersionsSeen own,
            Collection<HostId> controlHosts) {
        this.service = service;
        this.life = life;
        // An entry host hears of versions through control hosts, of which some may be cut off.
        this.seen = own.withoutOwnWatch();
        this.unheard = new HashSet<>(controlHosts);
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
        unheard.remove(host);
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
        boolean complete = outstanding.isEmpty() && allVotersHaveAnswered();
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
        return outstanding.isEmpty()
                && unheard.isEmpty()
                && allVotersHaveAnswered()
                && service.isPresent()
                && !seen.mayMix()
                && !seen.versions().isEmpty()
                && seen.watched().compareTo(life) >= 0;
    }
}
