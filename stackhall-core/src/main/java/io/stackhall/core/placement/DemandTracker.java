package io.stackhall.core.placement;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks demand: an exponentially decaying request rate for each model, and the number of waiting
 * requests.
 */
public final class DemandTracker {

    /** The default half-life: the time in which a rate halves without requests. */
    public static final Duration HALF_LIFE = Duration.ofSeconds(20);

    private static final long WAITING_LIFETIME_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final Duration halfLife;
    private final Map<ModelId, Rate> rates = new HashMap<>();
    private final Map<HostId, Waiting> waiting = new HashMap<>();

    /** Creates a tracker whose rates halve in {@link #HALF_LIFE}. */
    public DemandTracker() {
        this(HALF_LIFE);
    }

    /**
     * Creates a tracker.
     *
     * @param halfLife the time in which a rate halves without requests
     */
    public DemandTracker(Duration halfLife) {
        this.halfLife = halfLife;
    }

    private static final class Rate {
        private double count;
        private long at;
        private long lastUsed;
    }

    private record Waiting(Map<ModelId, Integer> counts, long at) {}

    /**
     * Records the report of an entry host.
     *
     * @param host the reporting host
     * @param arrivals the numbers of requests that arrived since its last report, by model
     * @param stillWaiting the numbers of requests that wait now, by model
     * @param now the monotonic clock, in nanoseconds
     */
    public void recordReport(
            HostId host,
            Map<ModelId, Integer> arrivals,
            Map<ModelId, Integer> stillWaiting,
            long now) {
        arrivals.forEach((model, count) -> arrived(model, count, now));
        waiting.put(host, new Waiting(Map.copyOf(stillWaiting), now));
    }

    /** Returns the request rate per second of a model, decayed to the given time. */
    public double ratePerSecond(ModelId model, long now) {
        Rate rate = rates.get(model);
        if (rate == null) {
            return 0;
        }
        return decayed(rate, now) / meanLifeSeconds();
    }

    /** Returns the mean time for which a request contributes to the rate, in seconds. */
    public double meanLifeSeconds() {
        return halfLife.toNanos() / NANOS_PER_SECOND / Math.log(2);
    }

    /**
     * Returns the number of requests that wait for a model, by the latest report of each entry
     * host. Reports older than two seconds are ignored.
     */
    public int waiting(ModelId model, long now) {
        int sum = 0;
        for (Waiting of : waiting.values()) {
            if (now - of.at() < WAITING_LIFETIME_NANOS) {
                sum += of.counts().getOrDefault(model, 0);
            }
        }
        return sum;
    }

    /**
     * Returns when a model was last requested, on the monotonic clock in nanoseconds, or the given
     * value if never.
     */
    public long lastUsed(ModelId model, long otherwise) {
        Rate rate = rates.get(model);
        return rate == null ? otherwise : rate.lastUsed;
    }

    /** Removes the rates of models that are no longer deployed. */
    public void retain(Set<ModelId> deployed) {
        rates.keySet().retainAll(deployed);
    }

    private void arrived(ModelId model, int count, long now) {
        Rate rate = rates.computeIfAbsent(model, key -> new Rate());
        rate.count = decayed(rate, now) + count;
        rate.at = now;
        rate.lastUsed = now;
    }

    private double decayed(Rate rate, long now) {
        double halfLives = (double) (now - rate.at) / halfLife.toNanos();
        return rate.count * Math.pow(0.5, halfLives);
    }
}
