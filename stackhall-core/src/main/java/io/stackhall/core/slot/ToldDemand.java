package io.stackhall.core.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a host has told the leader that it wants at one upstream. Bounds the leases that answer its
 * earlier messages: the leader has taken back what a later one did not want, even if the host wants
 * it again by now.
 */
final class ToldDemand {

    /** In the order of their times; each later one wanted more than those before. */
    private final Deque<Told> told = new ArrayDeque<>();

    private record Told(int wanted, long at) {}

    /** Records a message. */
    void record(int wanted, long at) {
        while (!told.isEmpty() && told.peekLast().wanted() >= wanted) {
            told.pollLast();
        }
        told.addLast(new Told(wanted, at));
    }

    /** Returns the least that was wanted in a message after the one of a time. */
    int leastSince(long at) {
        while (!told.isEmpty() && told.peekFirst().at() - at <= 0) {
            told.pollFirst();
        }
        return told.isEmpty() ? Integer.MAX_VALUE : told.peekFirst().wanted();
    }
}
