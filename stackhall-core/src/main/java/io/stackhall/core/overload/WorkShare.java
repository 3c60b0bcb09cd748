package io.stackhall.core.overload;

/**
 * The requests of one host at all instances, compared with those of the other hosts.
 *
 * @param own the requests of this host
 * @param others the requests of all other hosts, as last reported; 0 if that is not known
 * @param hosts the number of hosts, this one included; 0 if that is not known
 */
public record WorkShare(int own, int others, int hosts) {

    /** The share of a host that has no report of the others. */
    public static final WorkShare UNKNOWN = new WorkShare(0, 0, 0);

    /**
     * From this multiple of the others' mean on, a host has more than uneven hosts bring about, and
     * the others have room for what it leaves to them.
     */
    private static final double DISPROPORTION = 1.5;

    /**
     * Standard deviations of a number of requests by which chance alone makes none of a hundred
     * hosts differ from the mean within minutes.
     */
    private static final double MAX_CHANCE_DEVIATIONS = 5;

    /** Checks the numbers. */
    public WorkShare {
        if (own < 0 || others < 0 || hosts < 0) {
            throw new IllegalArgumentException(
                    "negative number: own=" + own + ", others=" + others + ", hosts=" + hosts);
        }
    }

    /** Returns the share with another number of requests of this host. */
    WorkShare withOwn(int requests) {
        return new WorkShare(requests, others, hosts);
    }

    /**
     * Returns whether this host is known to have far more to do than the mean of the others, and
     * more than chance brings about.
     */
    public boolean isDisproportionate() {
        if (others == 0 || hosts <= 1) {
            return false;
        }
        double mean = (double) others / (hosts - 1);
        return own > DISPROPORTION * mean
                && own - mean > MAX_CHANCE_DEVIATIONS * standardDeviation(mean);
    }

    /**
     * Returns the standard deviation of the difference between this host and the mean of the
     * others, for requests that arrive independently: their number has a variance of its mean. One
     * request more keeps a mean near zero, of few hosts, from counting as certain.
     */
    private double standardDeviation(double mean) {
        return Math.sqrt(mean + mean / (hosts - 1) + 1);
    }
}
