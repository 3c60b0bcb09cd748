package io.stackhall.core.customer;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits how long a host may rely on the keys that it knows.
 *
 * <p>A key that a configuration removes has to become invalid on every host within a fixed time,
 * also on one that no notice of the change reaches. Keys are therefore leased: each time a quorum
 * confirms that the host's configuration is the newest, its keys are valid for a fixed duration
 * from the moment at which the host asked. A change acknowledged after that moment finds the lease
 * expired in time; one acknowledged before would have been sent with the confirmation.
 *
 * <p>Moments are in nanoseconds, of a clock that keeps running while the machine is suspended.
 */
public final class KeyLease {

    /**
     * The remainder covers a request that is authenticated just before the lease expires and sent
     * after.
     */
    private static final int LEASE_PERCENT = 80;

    private static final int PERCENT = 100;

    private final Optional<Duration> duration;
    private boolean renew;
    private long renewedAt;

    /**
     * Creates a lease that has not been confirmed yet.
     *
     * @param revocation the time after its acknowledgement within which the removal of a key
     *     applies on every host; if empty, hosts that are cut off may rely on their keys without
     *     limit
     */
    public KeyLease(Optional<Duration> revocation) {
        this.duration = revocation.map(time -> time.multipliedBy(LEASE_PERCENT).dividedBy(PERCENT));
    }

    /**
     * Renews the lease after a quorum has confirmed this host's configuration as the newest.
     *
     * @param asked when the host asked for the confirmation
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

    /** Returns the time since the host asked for the last confirmation that it received. */
    public Duration age(long now) {
        return Duration.ofNanos(now - renewedAt);
    }
}
