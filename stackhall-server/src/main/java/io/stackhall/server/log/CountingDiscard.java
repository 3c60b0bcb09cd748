package io.stackhall.server.log;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy;
import org.apache.logging.log4j.core.async.EventRoute;

/**
 * Drops log lines that nobody reads fast enough, rather than hold a request up, and counts them.
 */
public final class CountingDiscard implements AsyncQueueFullPolicy {

    private static final AtomicLong DROPPED = new AtomicLong();

    /** Returns how many lines this process has dropped. */
    public static long dropped() {
        return DROPPED.get();
    }

    @Override
    public EventRoute getRoute(long backgroundThreadId, Level level) {
        DROPPED.incrementAndGet();
        return EventRoute.DISCARD;
    }
}
