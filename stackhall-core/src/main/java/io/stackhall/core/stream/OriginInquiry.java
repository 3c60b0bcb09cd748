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
 * nothing: more than half of the known control hosts must have seen no other, and someone must have
 * watched for that long. While that is not so, a control host whose connection has just been reset
 * may still know the stream, so it is waited for.
 */
public final class OriginInquiry {

    private final int knownHosts;
    private final Set<HostId> outstanding = new HashSet<>();
    private final Optional<ServiceName> service;
    private final Duration life;
    private VersionsSeen seen;
    private final Set<HostId> answered = new HashSet<>();

    /**
     * Creates a question.
     *
     * @param knownHosts the number of control hosts, whether connected or not
     * @param service the service that the stream began at, if its route leads to one only
     * @param life the longest time since the stream can have begun
     * @param own what this host has seen of the service
     */
    public OriginInquiry(
            int knownHosts, Optional<ServiceName> service, Duration life, VersionsSeen own) {
        this.knownHosts = knownHosts;
        this.service = service;
        this.life = life;
        this.seen = own;
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
    public Optional<TakeUp> answer(HostId host, OriginLookup lookup, VersionsSeen theirs) {
        if (!outstanding.remove(host)) {
            return Optional.empty();
        }
        answered.add(host);
        seen = seen.and(theirs);
        return switch (lookup) {
            case OriginLookup.Known(StreamOrigin origin) ->
                    Optional.of(new TakeUp.GoOn(origin, Evidence.RECORD));
            case OriginLookup.Contradictory() ->
                    Optional.of(new TakeUp.Refused(Reason.CONTRADICTORY));
            case OriginLookup.Unknown() -> decideWithoutRecord();
        };
    }

    private Optional<TakeUp> decideWithoutRecord() {
        boolean complete = outstanding.isEmpty() && (isSoleVersionProved() || allHaveAnswered());
        return complete ? Optional.of(conclude()) : Optional.empty();
    }

    private boolean allHaveAnswered() {
        return answered.size() >= knownHosts;
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
        boolean majority = answered.size() * 2 > knownHosts;
        return majority
                && service.isPresent()
                && !seen.mayMix()
                && !seen.versions().isEmpty()
                && seen.watched().compareTo(life) >= 0;
    }
}
