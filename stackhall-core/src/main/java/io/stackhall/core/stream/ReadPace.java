package io.stackhall.core.stream;

import java.time.Duration;
import java.util.Collection;

/**
 * Decides how often a small host reads the streams that it passes on.
 *
 * <p>Load pattern: some streams go on at a time, and each brings an event every few tens of
 * milliseconds, at a moment of its own. A host that wakes for each of them finds nothing of its
 * code and data in the caches of the processor, which costs many times what the event itself does.
 * Reading all streams at common times serves several events with one wake-up. A caller waits for an
 * event for one interval more at most, and not for the first one, which is read as it comes.
 */
public final class ReadPace {

    /** A delay that no reader of a stream notices. */
    private static final Duration MAX_INTERVAL = Duration.ofMillis(40);

    /** The part of the shortest gap objective by which an event may be delayed. */
    private static final int GAP_DIVISOR = 5;

    private ReadPace() {}

    /**
     * Returns the time from one read of all streams to the next.
     *
     * @param gapObjectives the longest gaps between events that callers of the routes in force take
     *     for being in time; those that are not positive are none
     */
    public static Duration interval(Collection<Duration> gapObjectives) {
        return gapObjectives.stream()
                .filter(Duration::isPositive)
                .map(gap -> gap.dividedBy(GAP_DIVISOR))
                .filter(share -> share.compareTo(MAX_INTERVAL) < 0)
                .min(Duration::compareTo)
                .orElse(MAX_INTERVAL);
    }
}
