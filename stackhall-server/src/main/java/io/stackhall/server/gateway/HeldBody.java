package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import java.util.Optional;

/**
 * A body that is held to its end, so that another instance may be tried if the answer is not whole.
 * One that gets too long is passed on as it comes.
 */
final class HeldBody implements AnswerBody {

    /** A host holds the answers of many requests at a time. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    private final HttpResponse head;
    private final boolean mayPassOn;
    private final AttemptListener listener;
    private final ByteBuf held = Unpooled.buffer();
    private boolean passingOn;

    /**
     * Creates an empty body.
     *
     * @param mayPassOn whether parts may go to the caller before the end; otherwise a body that
     *     gets too long counts as broken off
     */
    HeldBody(HttpResponse head, boolean mayPassOn, AttemptListener listener) {
        this.head = head;
        this.mayPassOn = mayPassOn;
        this.listener = listener;
    }

    @Override
    public Optional<String> add(ByteBuf part) {
        if (passingOn) {
            listener.onPart(head, part.retain());
            return Optional.empty();
        }
        held.writeBytes(part);
        if (held.readableBytes() <= MAX_HELD_BYTES) {
            return Optional.empty();
        }
        if (!mayPassOn) {
            return Optional.of("the answer is too long");
        }
        passingOn = true;
        listener.onPart(head, held);
        return Optional.empty();
    }

    @Override
    public AnswerEnd end(BodyFraming framing) {
        return AnswerEnd.ofBody(framing);
    }

    @Override
    public void complete(AnswerEnd end) {
        if (passingOn) {
            listener.onStreamEnd(head, Unpooled.EMPTY_BUFFER, end);
        } else {
            listener.onAnswer(head, held, end);
        }
    }

    @Override
    public void abandon() {
        // Parts come only until the call is cancelled.
    }
}
