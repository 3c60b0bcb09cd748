package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/** Forwards an event stream to a caller; several instances in turn may supply its events. */
final class StreamedAnswer {

    private final AnswerWriter writer;
    private final RequestLog log;
    private boolean started;
    private OptionalLong lastEventId = OptionalLong.empty();

    StreamedAnswer(AnswerWriter writer, RequestLog log) {
        this.writer = writer;
        this.log = log;
    }

    /** Returns whether any part of the answer has been written to the caller. */
    boolean hasBegun() {
        return started;
    }

    /** Returns the id of the last event written to the caller. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Forwards an event, unless an earlier instance has already supplied it. */
    void forwardEvent(HttpResponse head, EventAssembler.Event event) {
        boolean duplicate =
                event.id().isPresent()
                        && lastEventId.isPresent()
                        && event.id().getAsLong() <= lastEventId.getAsLong();
        if (duplicate) {
            event.bytes().release();
            return;
        }
        if (event.id().isPresent()) {
            lastEventId = event.id();
        }
        forwardBytes(head, event.bytes());
    }

    /**
     * Forwards bytes; the first instance's head is written before them, later heads are ignored.
     */
    void forwardBytes(HttpResponse head, ByteBuf bytes) {
        if (!started) {
            started = true;
            log.answerBegun();
            writer.writeHead(Answers.head(head));
        }
        writer.writePart(bytes);
    }
}
