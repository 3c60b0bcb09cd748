package io.stackhall.core.placement;

/**
 * The loads and misses of a placement policy.
 *
 * @param loads the number of loads from the weight store
 * @param needlessLoads the number of loads of artifacts that were unloaded before a request used
 *     them
 * @param misses the number of requests that arrived while no copy of their model was resident
 * @param arrivals the number of all requests
 */
public record PlacementCounts(long loads, long needlessLoads, long misses, long arrivals) {

    /** Returns counts of zero. */
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
