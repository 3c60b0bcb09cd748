package io.stackhall.core.residency;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Whether one engine is to be counted on, by its heartbeats and by who can connect to it, and
 * whether it wants to be called now. One that wants rest is well, and counted on.
 *
 * <p>By heartbeats alone an engine that has crashed is missed after five of them, 6 s; meanwhile
 * its models are not loaded elsewhere. An engine that refuses a connection because it has too many
 * still sends heartbeats, and so is not taken for lost.
 */
final class Reachability {

    /** In heartbeats: one that is due and has not come, after a refused connection. */
    private static final double SILENCE_AFTER_REFUSAL = 1.25;

    /** In heartbeats: two have not come, and several hosts get no answer at all. */
    private static final double SILENCE_AFTER_TIMEOUTS = 2.25;

    private static final int HOSTS_WITH_TIMEOUTS = 2;

    private final Duration heartbeat;
    private final Set<HostId> timedOut = new HashSet<>();
    private boolean refused;
    private long lastHeartbeatAt;
    private Optional<Long> restEndsAt = Optional.empty();

    Reachability(Duration heartbeat) {
        this.heartbeat = heartbeat;
    }

    /** Notes a heartbeat that is newer than those before. */
    void recordHeartbeat(long now) {
        lastHeartbeatAt = now;
        refused = false;
        timedOut.clear();
    }

    /**
     * Notes that a host cannot connect.
     *
     * @param refusal whether nobody listens, rather than nobody answering
     */
    void recordConnectFailure(HostId host, boolean refusal) {
        refused |= refusal;
        if (!refusal) {
            timedOut.add(host);
        }
    }

    /** Notes that the engine wants nothing from this host for some time; the later end counts. */
    void recordRest(Duration time, long now) {
        long end = now + time.toNanos();
        restEndsAt = Optional.of(restEndsAt.filter(known -> known - end > 0).orElse(end));
    }

    /** Returns whether the engine wants nothing from this host at present. */
    boolean isResting(long now) {
        return restEndsAt.filter(end -> now - end < 0).isPresent();
    }

    /** Returns whether the engine counts as lost until its next heartbeat. */
    boolean isLost(long now) {
        double missed = (now - lastHeartbeatAt) / (double) heartbeat.toNanos();
        boolean silent = timedOut.size() >= HOSTS_WITH_TIMEOUTS;
        return (refused && missed > SILENCE_AFTER_REFUSAL)
                || (silent && missed > SILENCE_AFTER_TIMEOUTS);
    }
}
