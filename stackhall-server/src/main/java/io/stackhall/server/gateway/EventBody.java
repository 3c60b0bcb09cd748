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

    /** An event of usual length is held in any case. */
    private static final int SMALL_EVENT_BYTES = 16 << 10;

    private final EventAssembler events = new EventAssembler();
    private final HttpResponse head;
    private final boolean resuming;
    private final HeldBytes allHeld;
    private final AttemptListener listener;
    private final Runnable onEvent;
    private int counted;
    private boolean anyEvent;
    private boolean abandoned;

    /**
     * Creates an empty body.
     *
     * @param resuming whether the stream goes on with one of which the caller has events
     * @param allHeld what the host holds for all requests
     * @param onEvent run before each event is handed on
     */
    EventBody(
            HttpResponse head,
            boolean resuming,
            HeldBytes allHeld,
            AttemptListener listener,
            Runnable onEvent) {
        this.head = head;
        this.resuming = resuming;
        this.allHeld = allHeld;
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
        return abandoned || holdRest()
                ? Optional.empty()
                : Optional.of("an event is too long to be held");
    }

    /** Counts the unfinished event, and returns whether it may be held. */
    private boolean holdRest() {
        release();
        int rest = events.remainingBytes();
        if (rest <= SMALL_EVENT_BYTES) {
            return true;
        }
        boolean fits = rest <= MAX_EVENT_BYTES && allHeld.tryHold(rest);
        counted = fits ? rest : 0;
        return fits;
    }

    private void release() {
        allHeld.release(counted);
        counted = 0;
    }

    @Override
    public AnswerEnd end(BodyFraming framing) {
        return events.end(framing, !anyEvent && !resuming);
    }

    @Override
    public void complete(AnswerEnd end) {
        release();
        listener.onStreamEnd(head, events.remaining(), end);
    }

    @Override
    public void abandon() {
        abandoned = true;
        release();
    }
}
