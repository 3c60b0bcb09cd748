package io.stackhall.core.answer;

import java.util.Objects;

/**
 * What is known of an answer whose body has ended as its framing asks for, which alone does not
 * make the answer whole: an upstream may break a stream off and end its body in good order.
 *
 * @param framing by what the end was recognized
 * @param unfinishedBytes the number of bytes of an event that has no end, 0 for none
 * @param withoutEvent whether it is a stream from its beginning, and no event has come
 */
public record AnswerEnd(BodyFraming framing, int unfinishedBytes, boolean withoutEvent) {

    public AnswerEnd {
        Objects.requireNonNull(framing, "framing");
        if (unfinishedBytes < 0) {
            throw new IllegalArgumentException("negative number of bytes: " + unfinishedBytes);
        }
    }

    /** Returns the end of an answer that is no stream of events. */
    public static AnswerEnd ofBody(BodyFraming framing) {
        return new AnswerEnd(framing, 0, false);
    }

    /** Returns whether the answer may be passed on as complete. */
    public boolean isWhole() {
        return unfinishedBytes == 0 && !endsBeforeItBegins();
    }

    /** Returns, for logs, why the answer is not whole. */
    public String reason() {
        String what =
                endsBeforeItBegins()
                        ? "no event came"
                        : unfinishedBytes + " bytes of an unfinished event at the end";
        return what + ", known by " + framing;
    }

    /** A connection that ends after the head looks the same as an upstream that ends by then. */
    private boolean endsBeforeItBegins() {
        return withoutEvent && framing == BodyFraming.CONNECTION;
    }
}
