package io.stackhall.server.compare;

/**
 * What one policy has attained and cost.
 *
 * @param offered requests that ended while it was in force; none if it decided in shadow
 * @param attained those answered whole within their deadline
 * @param loads loads from the weight store
 * @param needlessLoads loads undone before a request used them
 * @param arrivals requests for models while it decided
 * @param misses those that came while no copy of their model was resident
 */
public record PolicyTotals(
        long offered, long attained, long loads, long needlessLoads, long arrivals, long misses) {

    /** Returns totals of nothing. */
    public static PolicyTotals none() {
        return new PolicyTotals(0, 0, 0, 0, 0, 0);
    }

    /** Returns what has come since an earlier moment; counts that fell were started again. */
    public PolicyTotals since(PolicyTotals earlier) {
        return new PolicyTotals(
                risen(offered, earlier.offered),
                risen(attained, earlier.attained),
                risen(loads, earlier.loads),
                risen(needlessLoads, earlier.needlessLoads),
                risen(arrivals, earlier.arrivals),
                risen(misses, earlier.misses));
    }

    /** Returns the sum of both. */
    public PolicyTotals plus(PolicyTotals other) {
        return new PolicyTotals(
                offered + other.offered,
                attained + other.attained,
                loads + other.loads,
                needlessLoads + other.needlessLoads,
                arrivals + other.arrivals,
                misses + other.misses);
    }

    /** Returns the share of requests attained; 0 where there were none. */
    public double attainment() {
        return offered == 0 ? 0 : (double) attained / offered;
    }

    private static long risen(long now, long earlier) {
        return now >= earlier ? now - earlier : now;
    }
}
