package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks within an
 * event can be resumed after the last complete one.
 */
final class EventAssembler {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    /** An event of 64 tokens has a few hundred bytes. */
    private static final int INITIAL_BYTES = 512;

    private ByteBuf pending = Unpooled.buffer(INITIAL_BYTES);
    private int scannedIndex;

    /**
     * One complete event.
     *
     * @param bytes its bytes with the empty line at its end; owned by the receiver
     * @param id the value of its id field, empty if absent or not a number
     */
    record Event(ByteBuf bytes, OptionalLong id) {}

    void add(ByteBuf part) {
        pending.writeBytes(part);
    }

    /** Removes and returns the next complete event, or null if none is complete yet. */
    Event next() {
        int end = findEventEnd();
        if (end < 0) {
            return null;
        }
        ByteBuf bytes = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        scannedIndex = 0;
        return new Event(bytes, parseId(bytes));
    }

    /** Removes and returns all remaining bytes. */
    ByteBuf remaining() {
        scannedIndex = 0;
        return pending.readBytes(pending.readableBytes());
    }

    /** Discards the bytes of an incomplete event. */
    void clear() {
        pending.clear();
        scannedIndex = 0;
    }

    /**
     * Returns the index after the next event, or -1 if it is incomplete. An event ends with an
     * empty line; lines end with a line feed, optionally preceded by a carriage return.
     */
    private int findEventEnd() {
        int from = Math.max(pending.readerIndex(), scannedIndex);
        int feed = pending.indexOf(from, pending.writerIndex(), LINE_FEED);
        while (feed >= 0) {
            int next = feed + 1;
            if (next < pending.writerIndex() && pending.getByte(next) == CARRIAGE_RETURN) {
                next++;
            }
            if (next >= pending.writerIndex()) {
                scannedIndex = feed;
                return -1;
            }
            if (pending.getByte(next) == LINE_FEED) {
                return next + 1;
            }
            feed = pending.indexOf(next, pending.writerIndex(), LINE_FEED);
        }
        scannedIndex = pending.writerIndex();
        return -1;
    }

    private static OptionalLong parseId(ByteBuf event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return parseNumber(line.substring(ID_FIELD.length()).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseNumber(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
