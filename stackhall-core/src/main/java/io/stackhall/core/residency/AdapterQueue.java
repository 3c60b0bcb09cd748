package io.stackhall.core.residency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The adapters that requests wait for on one engine, in order of request, without duplicates. */
final class AdapterQueue {

    private final Deque<AdapterKey> keys = new ArrayDeque<>();

    void add(AdapterKey key) {
        if (!keys.contains(key)) {
            keys.addLast(key);
        }
    }

    Optional<AdapterKey> peek() {
        return Optional.ofNullable(keys.peekFirst());
    }

    void removeFirst() {
        keys.pollFirst();
    }
}
