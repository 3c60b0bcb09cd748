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
    private final HeldBytes allHeld;
    private final AttemptListener listener;
    private final ByteBuf held = Unpooled.buffer();
    private int counted;
    private boolean passingOn;

    /**
     * Creates an empty body.
     *
     * @param mayPassOn whether parts may go to the caller before the end; otherwise a body that
     *     gets too long counts as broken off
     * @param allHeld what the host holds for all requests
     */
    HeldBody(HttpResponse head, boolean mayPassOn, HeldBytes allHeld, AttemptListener listener) {
        this.head = head;
        this.mayPassOn = mayPassOn;
        this.allHeld = allHeld;
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
        if (hold(part.readableBytes())) {
            held.writeBytes(part);
            return Optional.empty();
        }
        if (!mayPassOn) {
            return Optional.of("the answer is too long to be held");
        }
        passingOn = true;
        release();
        listener.onPart(head, held.writeBytes(part));
        return Optional.empty();
    }

    private boolean hold(int bytes) {
        boolean fits = counted + bytes <= MAX_HELD_BYTES && allHeld.tryHold(bytes);
        counted += fits ? bytes : 0;
        return fits;
    }

    private void release() {
        allHeld.release(counted);
        counted = 0;
    }

    @Override
    public AnswerEnd end(BodyFraming framing) {
        return AnswerEnd.ofBody(framing);
    }

    @Override
    public void complete(AnswerEnd end) {
        release();
        if (passingOn) {
            listener.onStreamEnd(head, Unpooled.EMPTY_BUFFER, end);
        } else {
            listener.onAnswer(head, held, end);
        }
    }

    @Override
    public void abandon() {
        release();
    }
}
