package io.stackhall.core.residency;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.placement.DemandTracker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the request rate of each model. The estimate follows a rise within seconds and a fall
 * more slowly.
 *
 * <p>Until requests arrive, models that several engines hold at the first start are assumed to be
 * in demand, since the engines were filled in that expectation. Without this assumption, four
 * copies that were busy a few seconds later were unloaded before the first request in one day of
 * load.
 */
final class ModelDemand {

    /**
     * Long enough that a model requested every ten seconds does not look idle between two requests.
     */
    private static final Duration FALL_HALF_LIFE = Duration.ofSeconds(8);

    /**
     * Two seconds after the demand for a model jumps to 10 requests a second, the estimate is 5 a
     * second.
     */
    private static final Duration RISE_HALF_LIFE = Duration.ofSeconds(2);

    /**
     * A fall is accepted as soon as the recent rate rules out the slower estimate. With the slower
     * estimate alone, a model without requests kept its three copies for about ten seconds, while
     * requests for the model that replaced it in demand were refused.
     */
    private static final Duration RECENT_HALF_LIFE = Duration.ofSeconds(1);

    /**
     * The number of standard deviations by which the recent rate must differ to rule out the slower
     * estimate.
     */
    private static final double MAX_DEVIATIONS = 3;

    /**
     * The demand assumed for each copy at the first start, in requests per second: a third of the
     * capacity of a copy.
     */
    private static final double ASSUMED_RATE_PER_COPY = 3;

    /**
     * How long the assumed demand applies after the first request; measured demand suffices from
     * then on.
     */
    private static final long ASSUMPTION_NANOS = Duration.ofSeconds(5).toNanos();

    private final DemandTracker falling = new DemandTracker(FALL_HALF_LIFE);
    private final DemandTracker recent = new DemandTracker(RECENT_HALF_LIFE);
    private final DemandTracker rising = new DemandTracker(RISE_HALF_LIFE);
    private final Map<ModelId, Double> assumedRates = new HashMap<>();
    private final Map<ModelId, Long> starvedSince = new HashMap<>();
    private boolean requestsSeen;
    private long firstRequestAt;

    /** Records an entry host's counts of arrived and waiting requests. */
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

    /** Assumes demand for a model that has several copies before any request has arrived. */
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

    /** Returns the highest rate that is statistically consistent with the recent requests. */
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

    /** Returns how long requests have waited for a model that no engine serves, in seconds. */
    double starvedSeconds(ModelId model, boolean resident, long now) {
        if (resident || waiting(model, now) == 0) {
            starvedSince.remove(model);
            return 0;
        }
        long since = starvedSince.computeIfAbsent(model, key -> now);
        return (now - since) / (double) Duration.ofSeconds(1).toNanos();
    }
}
