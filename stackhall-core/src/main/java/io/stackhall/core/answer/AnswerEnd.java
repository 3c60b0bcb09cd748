package io.stackhall.core.answer;

import java.util.Objects;

/**
 * What is known of an answer once its body has ended as its framing asks for.
 *
 * @param framing by what the end was recognized
 * @param unfinishedBytes the number of bytes after the last complete event, 0 if it is no stream
 */
public record AnswerEnd(BodyFraming framing, int unfinishedBytes) {

    public AnswerEnd {
        Objects.requireNonNull(framing, "framing");
        if (unfinishedBytes < 0) {
            throw new IllegalArgumentException("negative number of bytes: " + unfinishedBytes);
        }
    }
}
