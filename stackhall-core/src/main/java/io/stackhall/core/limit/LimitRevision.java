package io.stackhall.core.limit;

import java.util.Comparator;

/**
 * Orders what keepers have said of one upstream's limit: what a later leader says is newer,
 * whatever was said before.
 *
 * @param term the term of the leader that said it, or 0 where nothing was said
 * @param count how much that leader had said by then
 */
public record LimitRevision(long term, long sequence) implements Comparable<LimitRevision> {

    private static final Comparator<LimitRevision> ORDER =
            Comparator.comparingLong(LimitRevision::term)
                    .thenComparingLong(LimitRevision::sequence);

    /** Checks the figures. */
    public LimitRevision {
        if (term < 0 || sequence < 0) {
            throw new IllegalArgumentException("term " + term + ", count " + sequence);
        }
    }

    /** Returns the revision from before anything was said. */
    public static LimitRevision none() {
        return new LimitRevision(0, 0);
    }

    @Override
    public int compareTo(LimitRevision other) {
        return ORDER.compare(this, other);
    }
}
