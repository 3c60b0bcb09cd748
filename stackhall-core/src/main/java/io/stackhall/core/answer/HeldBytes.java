package io.stackhall.core.answer;

/**
 * Bounds the bytes of unfinished answers that a host holds for all its requests together.
 *
 * <p>Load pattern: many long answers, or events that do not end, come at the same time. Each of
 * them is within the bound of a single answer, and together they fill the memory of a small host,
 * which ends with the requests of all its callers. Short answers come beside them: one of them may
 * say that a request has not run, which must not get lost for want of room.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class HeldBytes {

    /**
     * An answer of this length is held in any case, and not counted: as many as a host has requests
     * take less than the long ones that the bound is for.
     */
    private static final int SHORT_ANSWER_BYTES = 16 << 10;

    private final long limit;
    private long held;

    /**
     * Creates a bound that nothing counts toward yet.
     *
     * @param limit the most bytes of long answers that are held at a time
     */
    public HeldBytes(long limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit is not positive: " + limit);
        }
        this.limit = limit;
    }

    /** Returns the share of one more answer, of which nothing is held yet. */
    public Share newShare() {
        return new Share();
    }

    /** Returns the number of bytes held of long answers. */
    public long held() {
        return held;
    }

    /** What is held of one answer. */
    public final class Share {

        private int counted;

        private Share() {}

        /**
         * Sets how many bytes of the answer are held from now on, and returns whether they may be.
         * If not, none of them count any more: the answer must not be held.
         */
        public boolean hold(int bytes) {
            release();
            if (bytes <= SHORT_ANSWER_BYTES) {
                return true;
            }
            if (bytes > limit - held) {
                return false;
            }
            held += bytes;
            counted = bytes;
            return true;
        }

        /** Records that nothing of the answer is held any more. */
        public void release() {
            held -= counted;
            counted = 0;
        }
    }
}
