package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.quarantine.CrashCause;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Picks an instance of a service that runs no models, by its occupancy, and by the expected time to
 * the answer where instances report how long work takes there at present.
 *
 * <p>Instances that are about equally good share the requests at random, with those of the host's
 * own zone first. If the lowest score decided among idle instances, one with a slightly higher
 * reported mean would get nothing until that mean has changed.
 */
final class PlainServiceSelector {

    /** An instance in another zone counts as if it had this many more requests. */
    private static final double OTHER_ZONE_REQUESTS = 0.3;

    /**
     * An instance without an answer for this long counts as silent, and is avoided while other
     * instances answer.
     */
    private static final long SILENCE_NANOS = Duration.ofMillis(600).toNanos();

    /**
     * An instance gets up to this many times its slots in requests, as it queues a few beyond its
     * slots.
     */
    private static final double QUEUE_SHARE = 2.0;

    /**
     * Lower bound of the share of requests that an instance is expected to accept, so that
     * instances with full queues still differ by their slowdown.
     */
    private static final double MIN_ACCEPTED_SHARE = 0.05;

    /**
     * Instances whose scores differ by less than this many requests, or by the time of as many at a
     * usual instance, count as equal: what hosts know of each other's requests is no more exact.
     */
    private static final double EQUAL_WITHIN_REQUESTS = 1;

    /**
     * The slots that remain free at an instance which counts as having free slots, since its
     * occupancy is an estimate.
     */
    private static final double SPARE_SLOTS = 1;

    /**
     * Share of the slots below which an instance counts as having free slots in any case: one with
     * a single slot has none to spare.
     */
    private static final double MIN_FREE_SHARE = 0.5;

    private static final double SILENT_PENALTY = 1e6;
    private static final double FAILURE_WEIGHT = 6;

    private final ZoneId zone;
    private final RandomGenerator random;
    private final Function<UpstreamId, InstanceLoad> loads;

    PlainServiceSelector(
            ZoneId zone, RandomGenerator random, Function<UpstreamId, InstanceLoad> loads) {
        this.zone = zone;
        this.random = random;
        this.loads = loads;
    }

    /** An instance that may get the request. */
    private record RatedInstance(Instance instance, double score, boolean hasFreeSlots) {

        private boolean isAsGoodAs(RatedInstance best) {
            return (score - best.score) * instance.slots() < EQUAL_WITHIN_REQUESTS;
        }
    }

    Choice select(List<Instance> serving, Optional<CrashCause> suspect, long now) {
        boolean timed = serving.stream().anyMatch(one -> load(one).slowdown().isKnown());
        List<UsualDuration> durations =
                timed ? serving.stream().map(one -> load(one).usualDuration()).toList() : List.of();
        List<RatedInstance> options = new ArrayList<>();
        for (Instance instance : serving) {
            InstanceLoad load = load(instance);
            if (load.expectedOccupancy(now) < instance.slots() * QUEUE_SHARE) {
                double work =
                        timed
                                ? expectedTime(instance, load, durations, now)
                                : workAhead(instance, load, now);
                options.add(
                        new RatedInstance(
                                instance,
                                score(instance, load, work, now),
                                hasFreeSlots(instance, load, now)));
            }
        }
        if (options.isEmpty()) {
            return new Choice.Full(0);
        }
        Instance selected = suspect.isPresent() ? isolated(options, suspect) : best(options);
        return new Choice.Send(selected, "load");
    }

    private InstanceLoad load(Instance instance) {
        return loads.apply(instance.id());
    }

    private Instance isolated(List<RatedInstance> options, Optional<CrashCause> suspect) {
        Candidates candidates = new Candidates();
        options.forEach(option -> candidates.add(option.instance(), option.score(), suspect));
        return candidates.lowestScore(random);
    }

    private Instance best(List<RatedInstance> options) {
        RatedInstance best = options.get(random.nextInt(options.size()));
        for (RatedInstance option : options) {
            if (option.score() < best.score()) {
                best = option;
            }
        }
        if (!best.hasFreeSlots()) {
            return best.instance();
        }
        List<Instance> equal = new ArrayList<>();
        for (RatedInstance option : options) {
            if (option.hasFreeSlots() && option.isAsGoodAs(best)) {
                equal.add(option.instance());
            }
        }
        List<Instance> own = equal.stream().filter(this::isInOwnZone).toList();
        List<Instance> preferred = own.isEmpty() ? equal : own;
        return preferred.get(random.nextInt(preferred.size()));
    }

    private boolean isInOwnZone(Instance instance) {
        return instance.zone().equals(zone);
    }

    private static boolean hasFreeSlots(Instance instance, InstanceLoad load, long now) {
        int slots = instance.slots();
        return load.expectedOccupancy(now) < Math.max(slots - SPARE_SLOTS, slots * MIN_FREE_SHARE);
    }

    /** Returns the expected work with this request included, in units of slots. */
    private static double workAhead(Instance instance, InstanceLoad load, long now) {
        return (load.expectedOccupancy(now) + 1) / Math.max(1, instance.slots());
    }

    /**
     * Returns the expected time to the answer, relative to that of a slot's worth of work at a
     * usual instance. It rises steeply towards the occupancy at which instances reject requests: in
     * proportion to the slowdown alone, all hosts would fill the queues of the usual instances
     * while a slow one has free slots.
     */
    private static double expectedTime(
            Instance instance, InstanceLoad load, List<UsualDuration> durations, long now) {
        double work = workAhead(instance, load, now);
        double filled = work / QUEUE_SHARE;
        double accepted = Math.max(MIN_ACCEPTED_SHARE, 1 - filled * filled);
        return work
                / accepted
                * load.slowdown().current(now)
                * load.usualDuration().relativeTo(durations);
    }

    private double score(Instance instance, InstanceLoad load, double work, long now) {
        double score = work;
        score += isInOwnZone(instance) ? 0 : OTHER_ZONE_REQUESTS / Math.max(1, instance.slots());
        score *= 1 + FAILURE_WEIGHT * load.failureShare();
        score += load.inBackoff(now) ? SILENT_PENALTY : 0;
        score += load.isSilentFor(SILENCE_NANOS, now) ? SILENT_PENALTY : 0;
        return score;
    }
}
