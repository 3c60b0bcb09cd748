package io.stackhall.server.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the lines of each kind that are written in a second. What is left out is counted in the
 * next line of its kind. Used on one thread.
 */
public final class LineBudget {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Kind, Spent> spent = new EnumMap<>(Kind.class);

    /** Kinds of lines; failures may be written more often than successes. */
    public enum Kind {
        /** A request was sent to an instance: a host of today's size sends 10 to 60 a second. */
        SENT(150),
        /** A request was answered. */
        ANSWERED(150),
        /** A request was refused, failed or broken off. */
        FAILED(400),
        /** An attempt failed or was refused by its instance. */
        ATTEMPT(400),
        /** A caller left. */
        LEFT(100);

        private final int perSecond;

        Kind(int perSecond) {
            this.perSecond = perSecond;
        }
    }

    private static final class Spent {
        private long since;
        private int lines;
        private long leftOut;
    }

    /**
     * Takes one line out of a kind's allowance.
     *
     * @return how many lines of this kind were left out since the last one, or -1 where this one is
     *     to be left out too
     */
    public long take(Kind kind, long now) {
        Spent of = spent.computeIfAbsent(kind, key -> new Spent());
        if (now - of.since >= SECOND_NANOS) {
            of.since = now;
            of.lines = 0;
        }
        if (of.lines >= kind.perSecond) {
            of.leftOut++;
            return -1;
        }
        of.lines++;
        long leftOut = of.leftOut;
        of.leftOut = 0;
        return leftOut;
    }
}
