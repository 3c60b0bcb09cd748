package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/** An event stream on its way to a caller, perhaps from one instance after another. */
final class StreamedAnswer {

    private final AnswerWriter writer;
    private final RequestLog log;
    private boolean started;
    private OptionalLong lastEventId = OptionalLong.empty();

    StreamedAnswer(AnswerWriter answers, RequestLog log) {
        this.writer = answers;
        this.log = log;
    }

    /** Returns whether the caller has got any of it. */
    boolean hasBegun() {
        return started;
    }

    /** Returns the last event that the caller has got. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Passes an event on, unless the caller has got it already from an earlier instance. */
    void forwardEvent(HttpResponse head, EventAssembler.Event event) {
        boolean old =
                event.id().isPresent()
                        && lastEventId.isPresent()
                        && event.id().getAsLong() <= lastEventId.getAsLong();
        if (old) {
            event.bytes().release();
            return;
        }
        if (event.id().isPresent()) {
            lastEventId = event.id();
        }
        forwardBytes(head, event.bytes());
    }

    /** Passes on what is no event; the head of the first instance stands for all. */
    void forwardBytes(HttpResponse head, ByteBuf bytes) {
        if (!started) {
            started = true;
            log.begun();
            writer.writeHead(Answers.head(head));
        }
        writer.writePart(bytes);
    }
}
