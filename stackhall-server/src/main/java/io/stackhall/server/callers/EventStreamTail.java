package io.stackhall.server.callers;

import java.nio.charset.StandardCharsets;

/** Tracks the length of an event stream, and whether it has ended with the end marker. */
final class EventStreamTail {

    /** The event that ends a complete stream. */
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

    /** Returns the number of bytes added so far. */
    long length() {
        return length;
    }

    /** Returns whether the last event is the end marker. */
    boolean isComplete() {
        return tail.toString().stripTrailing().endsWith(END_MARKER);
    }
}
