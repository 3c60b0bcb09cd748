package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks within an
 * event can be resumed after the last complete one.
 *
 * <p>An event ends with an empty line. A line ends with a line feed, a carriage return, or both.
 *
 * <p>Works on an array of its own: each event of each stream passes here, and an access to a buffer
 * costs a small host many times that of an array.
 */
final class EventAssembler {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT_START = ':';

    /** An event of 64 tokens has a few hundred bytes. */
    private static final int INITIAL_BYTES = 512;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int start;
    private int end;
    private int scanned;
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
        int length = part.readableBytes();
        reserve(length);
        part.readBytes(pending, end, length);
        end += length;
    }

    /** Makes room for further bytes. A long event leaves no long array behind. */
    private void reserve(int length) {
        int needed = end - start + length;
        if (needed <= INITIAL_BYTES && pending.length > INITIAL_BYTES) {
            moveTo(new byte[INITIAL_BYTES]);
        } else if (needed > pending.length) {
            moveTo(new byte[2 * needed]);
        } else if (end + length > pending.length) {
            moveTo(pending);
        }
    }

    /** Moves the unfinished event to the front of an array, which is used from now on. */
    private void moveTo(byte[] target) {
        int unfinished = end - start;
        System.arraycopy(pending, start, target, 0, unfinished);
        pending = target;
        scanned -= start;
        lineStart -= start;
        start = 0;
        end = unfinished;
    }

    /** Removes and returns the next complete event, or null if none is complete yet. */
    Event next() {
        int eventEnd = findEventEnd();
        if (eventEnd < 0) {
            return null;
        }
        OptionalLong id = EventIdParser.parse(pending, start, eventEnd);
        ByteBuf bytes = Unpooled.wrappedBuffer(Arrays.copyOfRange(pending, start, eventEnd));
        start = eventEnd;
        restartScan();
        return new Event(bytes, id);
    }

    /** Returns the number of bytes after the last complete event. */
    int remainingBytes() {
        return end - start;
    }

    /**
     * Returns what is known of the stream if it ends here.
     *
     * @param withoutEvent whether no event has come though one was to be expected
     */
    AnswerEnd end(BodyFraming framing, boolean withoutEvent) {
        int unfinishedBytes = hasUnfinishedEvent() ? remainingBytes() : 0;
        return new AnswerEnd(framing, unfinishedBytes, withoutEvent);
    }

    /**
     * Returns whether the bytes after the last complete event begin a further one. Empty lines and
     * comments do not, unless a line has no end.
     */
    private boolean hasUnfinishedEvent() {
        int line = start;
        while (line < end) {
            int lineEnd = findLineEnd(line);
            boolean empty = lineEnd == line;
            if (lineEnd < 0 || (!empty && pending[line] != COMMENT_START)) {
                return true;
            }
            line = lineEnd + 1;
        }
        return false;
    }

    /** Removes and returns all remaining bytes. */
    ByteBuf remaining() {
        ByteBuf rest = Unpooled.wrappedBuffer(Arrays.copyOfRange(pending, start, end));
        start = end;
        restartScan();
        return rest;
    }

    private void restartScan() {
        scanned = start;
        lineStart = start;
        hasLines = false;
        lastLineEndedByCarriageReturn = false;
    }

    /** Returns the index after the next event, or -1 if it is incomplete. */
    private int findEventEnd() {
        int lineEnd = findLineEnd(scanned);
        while (lineEnd >= 0) {
            scanned = lineEnd;
            boolean endsEvent = lineEnd == lineStart && hasLines;
            int next = skipLineEnd(lineEnd, endsEvent && lastLineEndedByCarriageReturn);
            if (next < 0 || endsEvent) {
                return next;
            }
            hasLines |= lineEnd > lineStart;
            lastLineEndedByCarriageReturn = pending[next - 1] == CARRIAGE_RETURN;
            lineStart = next;
            scanned = next;
            lineEnd = findLineEnd(next);
        }
        scanned = end;
        return -1;
    }

    /**
     * Returns the index after the end of a line, or -1 if a line feed may still follow.
     *
     * @param withoutLineFeed whether lines of this event end with a carriage return alone
     */
    private int skipLineEnd(int lineEnd, boolean withoutLineFeed) {
        int next = lineEnd + 1;
        if (pending[lineEnd] == LINE_FEED) {
            return next;
        }
        if (next == end) {
            return withoutLineFeed ? next : -1;
        }
        return pending[next] == LINE_FEED ? next + 1 : next;
    }

    /** Returns the index of the next carriage return or line feed, or -1 if there is none. */
    private int findLineEnd(int from) {
        for (int index = from; index < end; index++) {
            if (pending[index] == LINE_FEED || pending[index] == CARRIAGE_RETURN) {
                return index;
            }
        }
        return -1;
    }
}
