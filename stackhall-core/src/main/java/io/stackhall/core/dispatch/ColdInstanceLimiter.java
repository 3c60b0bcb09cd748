package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Which requests one of many hosts may send to instances that are cold, and bear only few a second
 * from all hosts together.
 *
 * <p>Load pattern: an instance comes back cold among two that are warm, and each of 75 hosts takes
 * it for the least loaded one. Together they send it five times what it bears, and it ends again.
 *
 * <p>Hosts agree on nothing for this: each has a short turn in every period that is as many times
 * as long as there are hosts, at a moment drawn at random. A turn that is not used is lost, so that
 * a burst after a quiet second finds no more turns than any other. What a cold instance bears
 * beyond that stays unused; the others are there for it.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class ColdInstanceLimiter {

    /** The rest is for turns that meet by chance. */
    private static final double USED_SHARE = 0.7;

    /** A host that has a request every half second uses half of its turns. */
    private static final long TIME_SLOT_NANOS = Duration.ofMillis(300).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private final Map<UpstreamId, SendSchedule> schedules = new HashMap<>();
    private int hostCount;

    /**
     * The turns of this host at one instance, counted from the first look after it was heard to be
     * cold; the moments are of the monotonic clock.
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

    /** Takes in how many hosts share what a cold instance bears; 0 where that is not known yet. */
    void setHostCount(int among) {
        hostCount = among;
    }

    /** Takes in how much longer an instance says that it is cold. */
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
     * Returns whether this host may send an instance a request now.
     *
     * @param perSecond what a cold instance of its service bears from all hosts together, or 0
     *     where that is without bound
     */
    boolean allows(UpstreamId id, double perSecond, long now) {
        SendSchedule turns = schedules.get(id);
        if (turns == null || perSecond <= 0) {
            return true;
        }
        turns.refresh(now);
        if (now - turns.coldUntil >= 0) {
            return true;
        }
        long turn = timeSlot(turns, perSecond, now);
        return turn >= 0 && turn != turns.usedTimeSlot;
    }

    /** Notes that a request is sent to an instance. */
    void recordSent(UpstreamId id, double perSecond, long now) {
        SendSchedule turns = schedules.get(id);
        if (turns != null && perSecond > 0) {
            turns.refresh(now);
            turns.usedTimeSlot = timeSlot(turns, perSecond, now);
        }
    }

    /** Returns which turn it is, or -1 where it is none of this host's. */
    private long timeSlot(SendSchedule turns, double perSecond, long now) {
        if (hostCount == 0) {
            return -1;
        }
        double period = hostCount / (perSecond * USED_SHARE) * NANOS_PER_SECOND;
        double passed = (now - turns.startedAt) / period + turns.phase;
        double intoPeriod = (passed - Math.floor(passed)) * period;
        return intoPeriod < TIME_SLOT_NANOS ? (long) Math.floor(passed) : -1;
    }
}
