package io.stackhall.core.residency;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks whether one engine is lost, by its heartbeats and by failed connections, and whether it
 * has asked this host to send nothing for a while (a rest). An engine at rest is healthy and not
 * lost.
 *
 * <p>With heartbeats alone, a crashed engine is detected after five missed heartbeats, 6 s, during
 * which its models are not loaded elsewhere. An engine that refuses a connection because it has too
 * many still sends heartbeats, and is therefore not considered lost.
 */
final class Reachability {

    /**
     * Silence in heartbeat intervals after which a refused connection counts: one heartbeat is
     * overdue.
     */
    private static final double SILENCE_AFTER_REFUSAL = 1.25;

    /**
     * Silence in heartbeat intervals after which connection timeouts of several hosts count: two
     * heartbeats are overdue.
     */
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

    /** Records a heartbeat that is newer than all before. */
    void recordHeartbeat(long now) {
        lastHeartbeatAt = now;
        refused = false;
        timedOut.clear();
    }

    /**
     * Records that a host cannot connect.
     *
     * @param refusal whether the connection was refused, rather than timed out
     */
    void recordConnectFailure(HostId host, boolean refusal) {
        refused |= refusal;
        if (!refusal) {
            timedOut.add(host);
        }
    }

    /**
     * Records that the engine asked this host to send nothing for some time. Of several rests, the
     * latest end applies.
     */
    void recordRest(Duration time, long now) {
        long end = now + time.toNanos();
        restEndsAt = Optional.of(restEndsAt.filter(known -> known - end > 0).orElse(end));
    }

    /** Returns whether a rest is in effect. */
    boolean isResting(long now) {
        return restEndsAt.filter(end -> now - end < 0).isPresent();
    }

    /** Returns whether the engine is considered lost until its next heartbeat. */
    boolean isLost(long now) {
        double missed = (now - lastHeartbeatAt) / (double) heartbeat.toNanos();
        boolean silent = timedOut.size() >= HOSTS_WITH_TIMEOUTS;
        return (refused && missed > SILENCE_AFTER_REFUSAL)
                || (silent && missed > SILENCE_AFTER_TIMEOUTS);
    }
}
