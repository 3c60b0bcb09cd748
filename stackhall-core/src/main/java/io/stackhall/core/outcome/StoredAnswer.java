package io.stackhall.core.outcome;

import java.util.Arrays;
import java.util.Objects;

/**
 * An answer that is kept for repetitions of a request.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body, empty where it was too large to keep; must not be modified
 * @param complete whether the body is the whole answer
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean complete) {

    /** Checks that no component is null. */
    public StoredAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer answer
                && status == answer.status
                && complete == answer.complete
                && contentType.equals(answer.contentType)
                && Arrays.equals(body, answer.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, complete, Arrays.hashCode(body));
    }

    @Override
    public String toString() {
        return "StoredAnswer[" + status + ", " + contentType + ", " + body.length + " bytes]";
    }
}
