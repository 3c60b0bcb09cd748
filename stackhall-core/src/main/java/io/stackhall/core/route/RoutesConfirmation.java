package io.stackhall.core.route;

import java.time.Duration;

/**
 * Decides whether an entry host may activate the configuration that it holds.
 *
 * <p>A restarted host does not remember which configuration an earlier incarnation had activated.
 * It receives configurations from several control hosts, some of which may lag behind, and from a
 * quorum the version of the newest one. It therefore waits until it holds the version that the
 * quorum has confirmed, or a newer one: each version in between was replaced before the host asked.
 * If no quorum answers and no newer version is reported for a while, it activates what it holds, so
 * that a zone that is cut off continues to serve requests.
 *
 * <p>Moments are in nanoseconds, of a clock that keeps running while the machine is suspended.
 */
public final class RoutesConfirmation {

    private static final long NONE = -1;

    private final Duration quorumTimeout;
    private long held = NONE;
    private long reported = NONE;
    private long confirmed = NONE;
    private long reportedAt;

    /**
     * Creates the state of a host that has not received anything.
     *
     * @param quorumTimeout how long a host waits for a quorum's answer after a newer version was
     *     last reported
     */
    public RoutesConfirmation(Duration quorumTimeout) {
        this.quorumTimeout = quorumTimeout;
    }

    /** Records that a control host knows a version. */
    public void reported(long version, long now) {
        if (version > reported) {
            reported = version;
            reportedAt = now;
        }
    }

    /** Records that a quorum has confirmed a version as the newest. */
    public void confirmed(long version, long now) {
        reported(version, now);
        confirmed = Math.max(confirmed, version);
    }

    /** Records that this host now holds the whole configuration of a version. */
    public void received(long version, long now) {
        reported(version, now);
        held = Math.max(held, version);
    }

    /**
     * Returns whether the configuration that is held may be activated.
     *
     * @param inForce the active version, negative if there is none
     */
    public boolean mayActivate(long inForce, long now) {
        if (held <= inForce) {
            return false;
        }
        boolean newest = confirmed != NONE && held >= confirmed;
        return newest || now - reportedAt >= quorumTimeout.toNanos();
    }

    /** Returns whether a quorum has confirmed any version. */
    public boolean isConfirmed() {
        return confirmed != NONE;
    }

    /** Returns whether a newer version has been reported than the one held. */
    public boolean lacksNewest() {
        return reported > held;
    }

    /** Returns the version that is held, negative if there is none. */
    public long held() {
        return held;
    }

    /** Returns the newest version that a control host has reported, negative if there is none. */
    public long reported() {
        return reported;
    }

    /** Returns the newest version that a quorum has confirmed, negative if there is none. */
    public long confirmed() {
        return confirmed;
    }
}
