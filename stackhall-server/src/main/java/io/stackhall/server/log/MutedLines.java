package io.stackhall.server.log;

import org.apache.logging.log4j.ThreadContext;
import org.apache.logging.log4j.core.Filter;
import org.apache.logging.log4j.core.filter.ThreadContextMapFilter;
import org.apache.logging.log4j.core.util.KeyValuePair;

/** Suppresses the lines that one thread logs, at the appender, after they have been composed. */
public final class MutedLines {

    /** Also named in {@code log4j2.xml}. */
    private static final String KEY = "muted";

    private static final String VALUE = "true";

    private MutedLines() {}

    /** Runs a task; lines that this thread logs meanwhile are not written. */
    public static void run(Runnable task) {
        ThreadContext.put(KEY, VALUE);
        try {
            task.run();
        } finally {
            ThreadContext.remove(KEY);
        }
    }

    /** Returns the filter that drops such lines. */
    static Filter filter() {
        return ThreadContextMapFilter.createFilter(
                new KeyValuePair[] {new KeyValuePair(KEY, VALUE)},
                "or",
                Filter.Result.DENY,
                Filter.Result.NEUTRAL);
    }
}
