package io.stackhall.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Times of requests, in order, in nanoseconds of virtual time. */
final class EventTimes {

    private static final long WINDOW = Duration.ofSeconds(4).toNanos();

    private final List<Long> times = new ArrayList<>();

    void add(long time) {
        times.add(time);
    }

    /** Returns how many requests arrived in an interval. */
    long count(Duration from, Duration to) {
        return between(from, to).size();
    }

    /** Returns the largest number of requests within any four seconds of an interval. */
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
