package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks within an
 * event can be resumed after the last complete one.
 *
 * <p>An event ends with an empty line. A line ends with a line feed, a carriage return, or both.
 */
final class EventAssembler {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT_START = ':';
    private static final String ID_FIELD = "id:";
    private static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");

    /** An event of 64 tokens has a few hundred bytes. */
    private static final int INITIAL_BYTES = 512;

    private final ByteBuf pending = Unpooled.buffer(INITIAL_BYTES);
    private int scannedIndex;
    private int lineStart;
    private boolean hasLines;
    private boolean lastLineEndedByCarriageReturn;

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
        restartScan();
        return new Event(bytes, parseId(bytes));
    }

    /** Returns the number of bytes after the last complete event. */
    int remainingBytes() {
        return pending.readableBytes();
    }

    /**
     * Returns what is known of the stream if it ends here.
     *
     * @param withoutEvent whether no event has come though one was to be expected
     */
    AnswerEnd end(BodyFraming framing, boolean withoutEvent) {
        int unfinishedBytes = hasUnfinishedEvent() ? pending.readableBytes() : 0;
        return new AnswerEnd(framing, unfinishedBytes, withoutEvent);
    }

    /**
     * Returns whether the bytes after the last complete event begin a further one. Empty lines and
     * comments do not, unless a line has no end.
     */
    private boolean hasUnfinishedEvent() {
        int start = pending.readerIndex();
        while (start < pending.writerIndex()) {
            int end = findLineEnd(start);
            byte first = pending.getByte(start);
            boolean empty = end == start;
            if (end < 0 || (!empty && first != COMMENT_START)) {
                return true;
            }
            start = end + 1;
        }
        return false;
    }

    /** Removes and returns all remaining bytes. */
    ByteBuf remaining() {
        restartScan();
        return pending.readBytes(pending.readableBytes());
    }

    private void restartScan() {
        scannedIndex = pending.readerIndex();
        lineStart = pending.readerIndex();
        hasLines = false;
        lastLineEndedByCarriageReturn = false;
    }

    /** Returns the index after the next event, or -1 if it is incomplete. */
    private int findEventEnd() {
        int end = findLineEnd(scannedIndex);
        while (end >= 0) {
            scannedIndex = end;
            boolean endsEvent = end == lineStart && hasLines;
            int next = skipLineEnd(end, endsEvent && lastLineEndedByCarriageReturn);
            if (next < 0 || endsEvent) {
                return next;
            }
            hasLines |= end > lineStart;
            lastLineEndedByCarriageReturn = pending.getByte(next - 1) == CARRIAGE_RETURN;
            lineStart = next;
            scannedIndex = next;
            end = findLineEnd(next);
        }
        scannedIndex = pending.writerIndex();
        return -1;
    }

    /**
     * Returns the index after the end of a line, or -1 if a line feed may still follow.
     *
     * @param withoutLineFeed whether lines of this event end with a carriage return alone
     */
    private int skipLineEnd(int end, boolean withoutLineFeed) {
        int next = end + 1;
        if (pending.getByte(end) == LINE_FEED) {
            return next;
        }
        if (next == pending.writerIndex()) {
            return withoutLineFeed ? next : -1;
        }
        return pending.getByte(next) == LINE_FEED ? next + 1 : next;
    }

    /** Returns the index of the next carriage return or line feed, or -1 if there is none. */
    private int findLineEnd(int from) {
        return pending.forEachByte(from, pending.writerIndex() - from, ByteProcessor.FIND_CRLF);
    }

    private static OptionalLong parseId(ByteBuf event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : LINE_END.split(text, -1)) {
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
