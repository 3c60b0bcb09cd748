package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.answer.HeldBytes;
import java.util.Optional;

/** A body of events, each of which is handed on once it is complete. */
final class EventBody implements AnswerBody {

    /** An event that does not end would fill the memory of its host. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final EventAssembler events = new EventAssembler();
    private final HttpResponse head;
    private final boolean resuming;
    private final HeldBytes.Share share;
    private final AttemptListener listener;
    private final Runnable onEvent;
    private boolean anyEvent;
    private boolean abandoned;

    /**
     * Creates an empty body.
     *
     * @param resuming whether the stream goes on with one of which the caller has events
     * @param share what is held of this answer
     * @param onEvent run before each event is handed on
     */
    EventBody(
            HttpResponse head,
            boolean resuming,
            HeldBytes.Share share,
            AttemptListener listener,
            Runnable onEvent) {
        this.head = head;
        this.resuming = resuming;
        this.share = share;
        this.listener = listener;
        this.onEvent = onEvent;
    }

    @Override
    public Optional<String> add(ByteBuf part) {
        events.add(part);
        EventAssembler.Event event = events.next();
        while (event != null && !abandoned) {
            onEvent.run();
            anyEvent = true;
            listener.onEvent(head, event);
            event = events.next();
        }
        return abandoned || mayHoldRest()
                ? Optional.empty()
                : Optional.of("an event is too long to be held");
    }

    /** Returns whether the unfinished event may be held. */
    private boolean mayHoldRest() {
        int rest = events.remainingBytes();
        return rest <= MAX_EVENT_BYTES && share.hold(rest);
    }

    @Override
    public AnswerEnd end(BodyFraming framing) {
        return events.end(framing, !anyEvent && !resuming);
    }

    @Override
    public void complete(AnswerEnd end) {
        share.release();
        listener.onStreamEnd(head, events.remaining(), end);
    }

    @Override
    public void abandon() {
        abandoned = true;
        share.release();
    }
}
