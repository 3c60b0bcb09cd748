package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.answer.HeldBytes;
import java.util.Optional;

/**
 * A body that is held to its end, so that another instance may be tried if the answer is not whole.
 * One that gets too long is passed on as it comes.
 */
final class HeldBody implements AnswerBody {

    /** A host holds the answers of many requests at a time. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    /** The share of a host's memory that unfinished answers of all requests may take. */
    private static final int HELD_SHARE = 8;

    private final HttpResponse head;
    private final boolean mayPassOn;
    private final HeldBytes.Share share;
    private final AttemptListener listener;
    private final ByteBuf held = Unpooled.buffer();
    private boolean passingOn;

    /**
     * Creates an empty body.
     *
     * @param mayPassOn whether parts may go to the caller before the end; otherwise a body that
     *     gets too long counts as broken off
     * @param share what is held of this answer
     */
    HeldBody(
            HttpResponse head, boolean mayPassOn, HeldBytes.Share share, AttemptListener listener) {
        this.head = head;
        this.mayPassOn = mayPassOn;
        this.share = share;
        this.listener = listener;
    }

    /** Returns how many bytes of unfinished answers this host may hold for all requests. */
    static long hostLimit() {
        return Runtime.getRuntime().maxMemory() / HELD_SHARE;
    }

    @Override
    public Optional<String> add(ByteBuf part) {
        if (passingOn) {
            listener.onPart(head, part.retain());
            return Optional.empty();
        }
        int length = held.readableBytes() + part.readableBytes();
        if (length <= MAX_HELD_BYTES && share.hold(length)) {
            held.writeBytes(part);
            return Optional.empty();
        }
        if (!mayPassOn) {
            return Optional.of("the answer is too long to be held");
        }
        passingOn = true;
        share.release();
        listener.onPart(head, held.writeBytes(part));
        return Optional.empty();
    }

    @Override
    public AnswerEnd end(BodyFraming framing) {
        return AnswerEnd.ofBody(framing);
    }

    @Override
    public void complete(AnswerEnd end) {
        share.release();
        if (passingOn) {
            listener.onStreamEnd(head, Unpooled.EMPTY_BUFFER, end);
        } else {
            listener.onAnswer(head, held, end);
        }
    }

    @Override
    public void abandon() {
        share.release();
    }
}
