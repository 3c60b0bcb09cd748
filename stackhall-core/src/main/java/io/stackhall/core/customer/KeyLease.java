package io.stackhall.core.customer;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a host may rely on the keys that it knows.
 *
 * <p>A key that a configuration takes away has to end on every host within a fixed time, also on
 * one that no word of the change reaches. So keys are leased: each time a quorum confirms that the
 * host's configuration is the newest, its keys hold for a while from the moment at which it asked.
 * A change that was acknowledged later than that moment finds the lease over in time; one that was
 * acknowledged before would have been told with the confirmation.
 *
 * <p>Moments are of a clock that goes on while the machine is suspended, in nanoseconds.
 */
public final class KeyLease {

    /** The rest is for a request that is judged just before its lease ends and sent after. */
    private static final int LEASE_PERCENT = 80;

    private static final int PERCENT = 100;

    private final Optional<Duration> duration;
    private boolean renew;
    private long renewedAt;

    /**
     * Creates the trust of a host that has not been confirmed yet.
     *
     * @param revocation within which time after its acknowledgement a change that takes a key away
     *     holds on every host; empty where hosts that no word reaches may go on
     */
    public KeyLease(Optional<Duration> revocation) {
        this.duration = revocation.map(time -> time.multipliedBy(LEASE_PERCENT).dividedBy(PERCENT));
    }

    /**
     * Notes that a quorum has confirmed the configuration that this host has in force.
     *
     * @param asked when the host asked for it
     */
    public void renew(long asked) {
        if (!renew || asked - renewedAt > 0) {
            renew = true;
            renewedAt = asked;
        }
    }

    /** Returns whether keys may be relied on. */
    public boolean isValid(long now) {
        return duration.isEmpty() || (renew && age(now).compareTo(duration.get()) < 0);
    }

    /** Returns how long ago the host asked for the last confirmation that it got. */
    public Duration age(long now) {
        return Duration.ofNanos(now - renewedAt);
    }
}
