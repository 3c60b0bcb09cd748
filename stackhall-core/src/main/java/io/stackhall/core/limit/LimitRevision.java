package io.stackhall.core.limit;

import java.util.Comparator;

/**
 * Orders the updates of one upstream's limit: any update of a later leader is newer than all
 * updates of earlier ones.
 *
 * @param term the term of the leader that published the update, or 0 before the first update
 * @param sequence number of the update among all of that leader, from 1
 */
public record LimitRevision(long term, long sequence) implements Comparable<LimitRevision> {

    private static final Comparator<LimitRevision> ORDER =
            Comparator.comparingLong(LimitRevision::term)
                    .thenComparingLong(LimitRevision::sequence);

    /** Validates the components. */
    public LimitRevision {
        if (term < 0 || sequence < 0) {
            throw new IllegalArgumentException("term " + term + ", sequence " + sequence);
        }
    }

    /** Returns the revision before the first update. */
    public static LimitRevision none() {
        return new LimitRevision(0, 0);
    }

    @Override
    public int compareTo(LimitRevision other) {
        return ORDER.compare(this, other);
    }
}
