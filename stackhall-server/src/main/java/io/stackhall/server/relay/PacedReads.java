package io.stackhall.server.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Reads the connections of streams at common times, so that one wake-up of the event loop serves
 * all of them. No timer runs while there are none. Used on its event loop alone.
 */
public final class PacedReads {

    private final EventLoop loop;
    private final Set<Runnable> reads = new LinkedHashSet<>();
    private Duration interval;
    private boolean scheduled;

    /**
     * Creates one without streams.
     *
     * @param interval the time from one read to the next
     */
    public PacedReads(EventLoop loop, Duration interval) {
        this.loop = loop;
        this.interval = interval;
    }

    /** Sets the time from one read to the next, from the next one on. */
    public void setInterval(Duration next) {
        interval = next;
    }

    /** Adds a read that is made at each of the common times. */
    void add(Runnable read) {
        reads.add(read);
        schedule();
    }

    void remove(Runnable read) {
        reads.remove(read);
    }

    private void schedule() {
        if (!scheduled && !reads.isEmpty()) {
            scheduled = true;
            loop.schedule(this::readAll, interval.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void readAll() {
        scheduled = false;
        try {
            List.copyOf(reads).forEach(this::readUnlessRemoved);
        } finally {
            schedule();
        }
    }

    /** What one read brings may end the stream of another. */
    private void readUnlessRemoved(Runnable read) {
        if (reads.contains(read)) {
            read.run();
        }
    }
}
