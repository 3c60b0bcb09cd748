package io.stackhall.core.answer;

/**
 * Bounds the bytes of unfinished answers that a host holds for all its requests together.
 *
 * <p>Load pattern: many long answers, or events that do not end, come at the same time. Each of
 * them is within the bound of a single answer, and together they fill the memory of a small host,
 * which ends with the requests of all its callers.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class HeldBytes {

    private final long limit;
    private long held;

    /**
     * Creates a bound that nothing counts toward yet.
     *
     * @param limit the most bytes that are held at a time
     */
    public HeldBytes(long limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit is not positive: " + limit);
        }
        this.limit = limit;
    }

    /** Counts bytes that are to be held, and returns whether they are within the bound. */
    public boolean tryHold(int bytes) {
        if (bytes > limit - held) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** Records that bytes which were counted are no longer held. */
    public void release(int bytes) {
        if (bytes > held) {
            throw new IllegalArgumentException(bytes + " bytes released of " + held);
        }
        held -= bytes;
    }

    /** Returns the number of bytes held. */
    public long held() {
        return held;
    }
}
