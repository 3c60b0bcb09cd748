package io.stackhall.core.placement;

/**
 * What a policy has cost and missed.
 *
 * @param loads loads from the weight store
 * @param needlessLoads loads of artifacts that were unloaded before a request used them
 * @param misses requests that came while no copy of their model was resident
 * @param arrivals all requests that came
 */
public record PlacementCounts(long loads, long needlessLoads, long misses, long arrivals) {

    /** Returns counts of nothing. */
    public static PlacementCounts none() {
        return new PlacementCounts(0, 0, 0, 0);
    }

    PlacementCounts withLoad() {
        return new PlacementCounts(loads + 1, needlessLoads, misses, arrivals);
    }

    PlacementCounts withNeedlessLoad() {
        return new PlacementCounts(loads, needlessLoads + 1, misses, arrivals);
    }

    PlacementCounts withArrivals(int count, boolean missed) {
        return new PlacementCounts(
                loads, needlessLoads, misses + (missed ? count : 0), arrivals + count);
    }
}
