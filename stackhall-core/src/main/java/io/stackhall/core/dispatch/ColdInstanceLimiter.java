package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Limits the requests that one of many hosts sends to cold instances, which handle only a few per
 * second from all hosts together.
 *
 * <p>When an instance returns cold beside two warm ones, each of 75 hosts sees it as the least
 * loaded. Together they would send five times what it can handle, and it would crash again.
 *
 * <p>Hosts need no coordination for this. Each one has a short time slot in every period, at a
 * random phase; the period grows with the number of hosts. An unused time slot is lost, so that a
 * burst after an idle second finds no more time slots than any other. The rest of a cold instance's
 * capacity stays unused, as the other instances can take those requests.
 *
 * <p>Not thread-safe: used by one thread.
 */
final class ColdInstanceLimiter {

    /**
     * Share of the capacity that is used; the rest allows for time slots of several hosts that
     * overlap by chance.
     */
    private static final double USED_SHARE = 0.7;

    /**
     * Length of a time slot. A host with one request every half second uses half of its time slots.
     */
    private static final long TIME_SLOT_NANOS = Duration.ofMillis(300).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private final Map<UpstreamId, SendSchedule> schedules = new HashMap<>();
    private int hostCount;

    /**
     * The time slots of this host at one instance, counted from the first check after the instance
     * reported that it is cold. Times are on the monotonic clock, in nanoseconds.
     */
    private static final class SendSchedule {
        private final double phase;
        private Optional<Duration> reportedRemaining = Optional.empty();
        private boolean started;
        private long startedAt;
        private long coldUntil;
        private long usedTimeSlot = -1;

        private SendSchedule(double phase) {
            this.phase = phase;
        }

        void refresh(long now) {
            if (!started) {
                started = true;
                startedAt = now;
            }
            reportedRemaining.ifPresent(left -> coldUntil = now + left.toNanos());
            reportedRemaining = Optional.empty();
        }
    }

    ColdInstanceLimiter(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Sets the number of hosts that share the capacity of a cold instance; 0 if it is not known
     * yet.
     */
    void setHostCount(int hosts) {
        hostCount = hosts;
    }

    /** Records how much longer an instance reports to be cold. */
    void update(Instance instance) {
        if (instance.cold().isZero()) {
            schedules.remove(instance.id());
        } else {
            schedules.computeIfAbsent(instance.id(), id -> new SendSchedule(random.nextDouble()))
                            .reportedRemaining =
                    Optional.of(instance.cold());
        }
    }

    void forget(UpstreamId id) {
        schedules.remove(id);
    }

    /**
     * Returns whether this host may send a request to an instance now.
     *
     * @param perSecond how many requests per second a cold instance of the service handles from all
     *     hosts together, or 0 if there is no limit
     */
    boolean allows(UpstreamId id, double perSecond, long now) {
        SendSchedule schedule = schedules.get(id);
        if (schedule == null || perSecond <= 0) {
            return true;
        }
        schedule.refresh(now);
        if (now - schedule.coldUntil >= 0) {
            return true;
        }
        long slot = timeSlot(schedule, perSecond, now);
        return slot >= 0 && slot != schedule.usedTimeSlot;
    }

    /** Records that a request is sent to an instance, which uses up the current time slot. */
    void recordSent(UpstreamId id, double perSecond, long now) {
        SendSchedule schedule = schedules.get(id);
        if (schedule != null && perSecond > 0) {
            schedule.refresh(now);
            schedule.usedTimeSlot = timeSlot(schedule, perSecond, now);
        }
    }

    /** Returns the number of the current time slot, or -1 outside the time slots of this host. */
    private long timeSlot(SendSchedule schedule, double perSecond, long now) {
        if (hostCount == 0) {
            return -1;
        }
        double period = hostCount / (perSecond * USED_SHARE) * NANOS_PER_SECOND;
        double passed = (now - schedule.startedAt) / period + schedule.phase;
        double intoPeriod = (passed - Math.floor(passed)) * period;
        return intoPeriod < TIME_SLOT_NANOS ? (long) Math.floor(passed) : -1;
    }
}
