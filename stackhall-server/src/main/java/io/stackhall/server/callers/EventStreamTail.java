package io.stackhall.server.callers;

import java.nio.charset.StandardCharsets;

/** Watches a stream of events go by: how long it is, and whether it ends with its end marker. */
final class EventStreamTail {

    /** The event that ends a whole stream. */
    static final String END_MARKER = "data: [DONE]";

    private static final int TAIL_CHARACTERS = 64;

    private final StringBuilder tail = new StringBuilder();
    private long length;

    void add(byte[] bytes, int count) {
        length += count;
        int from = Math.max(0, count - TAIL_CHARACTERS);
        tail.append(new String(bytes, from, count - from, StandardCharsets.ISO_8859_1));
        if (tail.length() > TAIL_CHARACTERS) {
            tail.delete(0, tail.length() - TAIL_CHARACTERS);
        }
    }

    long length() {
        return length;
    }

    boolean isComplete() {
        return tail.toString().stripTrailing().endsWith(END_MARKER);
    }
}
