package io.stackhall.server.standin;

import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Counts what a stand-in has run. */
final class StandInRuns {

    private final Map<String, Integer> byUser = new TreeMap<>();
    private int running;
    private int total;
    private long leftAt;
    private long lastBegunAt;

    /** Notes that its upstream has said that it leaves. */
    synchronized void leave() {
        leftAt = BootClock.nanos();
        lastBegunAt = leftAt;
    }

    /** Returns how long after its upstream's notice the last run began, 0 where none did. */
    synchronized Duration lastBegunAfterLeave() {
        return Duration.ofNanos(lastBegunAt - leftAt);
    }

    /** Takes a slot and counts the run, unless too much runs already. */
    synchronized boolean begin(String user, int limit) {
        if (running >= limit) {
            return false;
        }
        running++;
        total++;
        lastBegunAt = BootClock.nanos();
        if (!user.isEmpty()) {
            byUser.merge(user, 1, Integer::sum);
        }
        return true;
    }

    synchronized void end() {
        running--;
    }

    synchronized int running() {
        return running;
    }

    synchronized int total() {
        return total;
    }

    synchronized Map<String, Integer> byUser() {
        return Map.copyOf(byUser);
    }
}
