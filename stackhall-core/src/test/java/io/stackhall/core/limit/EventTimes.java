package io.stackhall.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** When requests came, in order, in nanoseconds of a play. */
final class EventTimes {

    private static final long WINDOW = Duration.ofSeconds(4).toNanos();

    private final List<Long> times = new ArrayList<>();

    void add(long moment) {
        times.add(moment);
    }

    /** Returns how many came after a moment and before another. */
    long count(Duration from, Duration to) {
        return between(from, to).size();
    }

    /** Returns the most that came in four seconds, after a moment and before another. */
    int worstFourSeconds(Duration from, Duration to) {
        List<Long> counted = between(from, to);
        int worst = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) >= WINDOW) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        return worst;
    }

    private List<Long> between(Duration from, Duration to) {
        return times.stream().filter(at -> at >= from.toNanos() && at < to.toNanos()).toList();
    }
}
