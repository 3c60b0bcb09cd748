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
final class ColdShare {

    /** The rest is for turns that meet by chance. */
    private static final double USED_SHARE = 0.7;

    /** A host that has a request every half second uses half of its turns. */
    private static final long TURN_NANOS = Duration.ofMillis(300).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private final Map<UpstreamId, Turns> cold = new HashMap<>();
    private int hosts;

    /**
     * The turns of this host at one instance, counted from the first look after it was heard to be
     * cold; the moments are of the monotonic clock.
     */
    private static final class Turns {
        private final double phase;
        private Optional<Duration> heard = Optional.empty();
        private boolean looked;
        private long since;
        private long until;
        private long usedTurn = -1;

        private Turns(double phase) {
            this.phase = phase;
        }

        void look(long now) {
            if (!looked) {
                looked = true;
                since = now;
            }
            heard.ifPresent(left -> until = now + left.toNanos());
            heard = Optional.empty();
        }
    }

    ColdShare(RandomGenerator random) {
        this.random = random;
    }

    /** Takes in how many hosts share what a cold instance bears; 0 where that is not known yet. */
    void shared(int among) {
        hosts = among;
    }

    /** Takes in how much longer an instance says that it is cold. */
    void reported(Instance instance) {
        if (instance.cold().isZero()) {
            cold.remove(instance.id());
        } else {
            cold.computeIfAbsent(instance.id(), id -> new Turns(random.nextDouble())).heard =
                    Optional.of(instance.cold());
        }
    }

    void forget(UpstreamId id) {
        cold.remove(id);
    }

    /**
     * Returns whether this host may send an instance a request now.
     *
     * @param perSecond what a cold instance of its service bears from all hosts together, or 0
     *     where that is without bound
     */
    boolean allows(UpstreamId id, double perSecond, long now) {
        Turns turns = cold.get(id);
        if (turns == null || perSecond <= 0) {
            return true;
        }
        turns.look(now);
        if (now - turns.until >= 0) {
            return true;
        }
        long turn = turn(turns, perSecond, now);
        return turn >= 0 && turn != turns.usedTurn;
    }

    /** Notes that a request is sent to an instance. */
    void sent(UpstreamId id, double perSecond, long now) {
        Turns turns = cold.get(id);
        if (turns != null && perSecond > 0) {
            turns.look(now);
            turns.usedTurn = turn(turns, perSecond, now);
        }
    }

    /** Returns which turn it is, or -1 where it is none of this host's. */
    private long turn(Turns turns, double perSecond, long now) {
        if (hosts == 0) {
            return -1;
        }
        double period = hosts / (perSecond * USED_SHARE) * NANOS_PER_SECOND;
        double passed = (now - turns.since) / period + turns.phase;
        double intoPeriod = (passed - Math.floor(passed)) * period;
        return intoPeriod < TURN_NANOS ? (long) Math.floor(passed) : -1;
    }
}
