package io.stackhall.core.residency;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.placement.DemandTracker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What is asked for: rises are seen within seconds, falls are believed later.
 *
 * <p>Until requests come, the models that several engines held at the first start count as asked
 * for: whoever filled the engines expected so. Without that, four of the copies that were busy a
 * few seconds later were unloaded on one day before the first request.
 */
final class ModelDemand {

    /** A model that is asked for every ten seconds should not look idle between two requests. */
    private static final Duration FALL_HALF_LIFE = Duration.ofSeconds(8);

    /** A model whose demand jumps to 10 a second shows 5 a second after two. */
    private static final Duration RISE_HALF_LIFE = Duration.ofSeconds(2);

    /**
     * A fall is believed as soon as the last seconds rule out the slower count: with the slower one
     * alone a model that nobody asked for any more kept its three copies for some ten seconds,
     * while the requests for its successor were refused.
     */
    private static final Duration RECENT_HALF_LIFE = Duration.ofSeconds(1);

    /** Standard deviations by which the recent count has to differ. */
    private static final double MAX_DEVIATIONS = 3;

    /**
     * For each copy there was at the first start, in requests a second: a third of its capacity.
     */
    private static final double ASSUMED_RATE_PER_COPY = 3;

    /** By then the requests themselves tell. */
    private static final long ASSUMPTION_NANOS = Duration.ofSeconds(5).toNanos();

    private final DemandTracker falling = new DemandTracker(FALL_HALF_LIFE);
    private final DemandTracker recent = new DemandTracker(RECENT_HALF_LIFE);
    private final DemandTracker rising = new DemandTracker(RISE_HALF_LIFE);
    private final Map<ModelId, Double> assumedRates = new HashMap<>();
    private final Map<ModelId, Long> starvedSince = new HashMap<>();
    private boolean requestsSeen;
    private long firstRequestAt;

    /** Takes in an entry host's counts of arrivals and waiting requests. */
    void recordReport(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting, long now) {
        falling.recordReport(host, arrivals, waiting, now);
        rising.recordReport(host, arrivals, Map.of(), now);
        recent.recordReport(host, arrivals, Map.of(), now);
        if (!requestsSeen && !arrivals.isEmpty()) {
            requestsSeen = true;
            firstRequestAt = now;
        }
    }

    /** Takes several copies of a model for the expectation that it will be asked for. */
    void assumeDemand(ModelId model, int copies) {
        if (!requestsSeen && copies > 1) {
            assumedRates.put(model, ASSUMED_RATE_PER_COPY * copies);
        }
    }

    double ratePerSecond(ModelId model, long now) {
        boolean stillAssumed = !requestsSeen || now - firstRequestAt < ASSUMPTION_NANOS;
        double assumed = stillAssumed ? assumedRates.getOrDefault(model, 0.0) : 0;
        double slow = Math.min(falling.ratePerSecond(model, now), maxRateByRecent(model, now));
        return Math.max(assumed, Math.max(slow, rising.ratePerSecond(model, now)));
    }

    /** Returns the highest rate under which so few requests as of late are still likely. */
    private double maxRateByRecent(ModelId model, long now) {
        double seconds = recent.meanLifeSeconds();
        double rate = recent.ratePerSecond(model, now);
        double deviation = Math.sqrt((rate + 1 / seconds) / seconds);
        return rate + MAX_DEVIATIONS * deviation;
    }

    int waiting(ModelId model, long now) {
        return falling.waiting(model, now);
    }

    long lastUsed(ModelId model) {
        return falling.lastUsed(model, 0);
    }

    /** Returns for how long requests have waited for a model that no engine serves, in seconds. */
    double starvedSeconds(ModelId model, boolean resident, long now) {
        if (resident || waiting(model, now) == 0) {
            starvedSince.remove(model);
            return 0;
        }
        long since = starvedSince.computeIfAbsent(model, key -> now);
        return (now - since) / (double) Duration.ofSeconds(1).toNanos();
    }
}
