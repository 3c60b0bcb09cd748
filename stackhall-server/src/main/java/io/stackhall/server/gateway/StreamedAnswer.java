package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/** An event stream on its way to a caller, perhaps from one instance after another. */
final class StreamedAnswer {

    private final AnswerWriter answers;
    private final RequestLog log;
    private boolean begun;
    private OptionalLong lastEvent = OptionalLong.empty();

    StreamedAnswer(AnswerWriter answers, RequestLog log) {
        this.answers = answers;
        this.log = log;
    }

    /** Returns whether the caller has got any of it. */
    boolean begun() {
        return begun;
    }

    /** Returns the last event that the caller has got. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /** Passes an event on, unless the caller has got it already from an earlier instance. */
    void event(HttpResponse head, EventAssembler.Event event) {
        boolean old =
                event.id().isPresent()
                        && lastEvent.isPresent()
                        && event.id().getAsLong() <= lastEvent.getAsLong();
        if (old) {
            event.bytes().release();
            return;
        }
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        rest(head, event.bytes());
    }

    /** Passes on what is no event; the head of the first instance stands for all. */
    void rest(HttpResponse head, ByteBuf bytes) {
        if (!begun) {
            begun = true;
            log.answerBegun();
            answers.begin(Answers.head(head));
        }
        answers.part(bytes);
    }
}
