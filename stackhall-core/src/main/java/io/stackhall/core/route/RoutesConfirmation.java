package io.stackhall.core.route;

import java.time.Duration;

/**
 * Whether an entry host may put into force the configuration that it holds.
 *
 * <p>A host that starts anew has obeyed some configuration in an earlier life and has forgotten
 * which. It hears of configurations from several control hosts, some of which may be behind, and of
 * the newest from a quorum, by its version alone. So it waits until it holds what the quorum has
 * named, or a newer one: each one in between was replaced before the host asked. Where no quorum
 * answers and nothing newer is on its way, it obeys what it holds after a while, so that a zone
 * that is cut off goes on serving.
 *
 * <p>Moments are of a clock that goes on while the machine is suspended, in nanoseconds.
 */
public final class RoutesConfirmation {

    private static final long NONE = -1;

    private final Duration quorumTimeout;
    private long held = NONE;
    private long reported = NONE;
    private long confirmed = NONE;
    private long reportedAt;

    /**
     * Creates the trust of a host that has heard of nothing.
     *
     * @param patience how long a host waits for a quorum's word after the last news of a
     *     configuration
     */
    public RoutesConfirmation(Duration patience) {
        this.quorumTimeout = patience;
    }

    /** Notes that a control host knows a configuration. */
    public void reported(long version, long now) {
        if (version > reported) {
            reported = version;
            reportedAt = now;
        }
    }

    /** Notes that a quorum has named a configuration as the newest. */
    public void confirmed(long version, long now) {
        reported(version, now);
        confirmed = Math.max(confirmed, version);
    }

    /** Notes that this host now holds the whole of a configuration. */
    public void received(long version, long now) {
        reported(version, now);
        held = Math.max(held, version);
    }

    /**
     * Returns whether the configuration that is held may be put into force.
     *
     * @param inForce the version in force, negative where there is none
     */
    public boolean mayActivate(long inForce, long now) {
        if (held <= inForce) {
            return false;
        }
        boolean named = confirmed != NONE && held >= confirmed;
        return named || now - reportedAt >= quorumTimeout.toNanos();
    }

    /** Returns whether a quorum has named any configuration. */
    public boolean isConfirmed() {
        return confirmed != NONE;
    }

    /** Returns whether a configuration is known of that this host does not hold. */
    public boolean lacksNewest() {
        return reported > held;
    }

    /** Returns the version of the configuration that is held, negative where there is none. */
    public long held() {
        return held;
    }

    /** Returns the newest version that any control host has told of, negative for none. */
    public long reported() {
        return reported;
    }

    /** Returns the newest version that a quorum has named, negative for none. */
    public long confirmed() {
        return confirmed;
    }
}
