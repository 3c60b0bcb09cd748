package io.stackhall.core.placement;

import io.stackhall.core.config.WeightStoreSpec;
import java.time.Duration;

/**
 * Limits the loads from the weight store to one zone's share of concurrent loads and of loads per
 * second.
 */
final class ZoneStoreLimiter {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final int zones;
    private WeightStoreSpec store = new WeightStoreSpec(1, 1);
    private double tokens = 1;
    private long refilledAt;

    ZoneStoreLimiter(int zones, long now) {
        this.zones = zones;
        this.refilledAt = now;
    }

    void setLimits(WeightStoreSpec spec) {
        store = spec;
    }

    /** Returns the number of loads that may start now in addition to the running ones. */
    int availableLoads(int running, long now) {
        refill(now);
        return Math.max(0, Math.min(maxParallelLoads() - running, (int) tokens));
    }

    void recordLoad() {
        tokens -= 1;
    }

    private int maxParallelLoads() {
        return Math.max(1, store.parallelLoads() / zones);
    }

    private void refill(long now) {
        double seconds = (now - refilledAt) / NANOS_PER_SECOND;
        tokens = Math.min(maxParallelLoads(), tokens + seconds * store.loadsPerSecond() / zones);
        refilledAt = now;
    }
}
