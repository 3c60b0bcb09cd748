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
 * One question for the origin of a stream that its caller takes up, put to all connected control
 * hosts.
 *
 * <p>A record decides at once. Without one the stream goes on only if its service has had a single
 * version for as long as the stream can have lived. One version in this host's sight proves
 * nothing: more than half of the known control hosts must have seen no other, and someone must have
 * watched for that long.
 */
public final class OriginInquiry {

    private final int knownHosts;
    private final Set<HostId> outstanding;
    private final Optional<ServiceName> service;
    private final Duration life;
    private VersionsSeen seen;
    private int answers;

    /**
     * Creates a question.
     *
     * @param knownHosts the number of control hosts, whether connected or not
     * @param asked the control hosts that the question was sent to
     * @param service the service that the stream began at, if its route leads to one only
     * @param life the longest time since the stream can have begun
     * @param own what this host has seen of the service
     */
    public OriginInquiry(
            int knownHosts,
            Collection<HostId> asked,
            Optional<ServiceName> service,
            Duration life,
            VersionsSeen own) {
        this.knownHosts = knownHosts;
        this.outstanding = new HashSet<>(asked);
        this.service = service;
        this.life = life;
        this.seen = own;
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
        answers++;
        seen = seen.and(theirs);
        return switch (lookup) {
            case OriginLookup.Known(StreamOrigin origin) ->
                    Optional.of(new TakeUp.GoOn(origin, Evidence.RECORD));
            case OriginLookup.Contradictory() ->
                    Optional.of(new TakeUp.Refused(Reason.CONTRADICTORY));
            case OriginLookup.Unknown() ->
                    outstanding.isEmpty() ? Optional.of(conclude()) : Optional.empty();
        };
    }

    /** Decides by the answers so far, after those that are outstanding have been waited for. */
    public TakeUp conclude() {
        boolean majority = answers * 2 > knownHosts;
        boolean sole =
                majority
                        && service.isPresent()
                        && !seen.mayMix()
                        && !seen.versions().isEmpty()
                        && seen.watched().compareTo(life) >= 0;
        return sole
                ? new TakeUp.GoOn(
                        new StreamOrigin(service.get(), seen.versions().iterator().next()),
                        Evidence.SOLE_VERSION)
                : new TakeUp.Refused(Reason.UNKNOWN);
    }
}
