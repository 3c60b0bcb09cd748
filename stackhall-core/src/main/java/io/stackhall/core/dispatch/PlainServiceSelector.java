package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.quarantine.RequestDigest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Picks an instance of a service that runs no models, by its occupancy. */
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

    Choice select(List<Instance> serving, Optional<RequestDigest> suspect, long now) {
        Candidates candidates = new Candidates();
        for (Instance instance : serving) {
            InstanceLoad load = loads.apply(instance.id());
            if (load.expectedOccupancy(now) < instance.slots() * QUEUE_SHARE) {
                candidates.add(instance, score(instance, load, now), suspect);
            }
        }
        return candidates.isEmpty()
                ? new Choice.Full(0)
                : new Choice.Send(candidates.lowestScore(random), "load");
    }

    private double score(Instance instance, InstanceLoad load, long now) {
        double score = (load.expectedOccupancy(now) + 1) / Math.max(1, instance.slots());
        score += instance.zone().equals(zone) ? 0 : OTHER_ZONE_REQUESTS / instance.slots();
        score *= 1 + FAILURE_WEIGHT * load.failureShare();
        score += load.inBackoff(now) ? SILENT_PENALTY : 0;
        score += load.isSilentFor(SILENCE_NANOS, now) ? SILENT_PENALTY : 0;
        return score;
    }
}
