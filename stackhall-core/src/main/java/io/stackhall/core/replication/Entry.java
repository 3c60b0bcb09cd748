package io.stackhall.core.replication;

import java.util.Objects;

/**
 * One entry of the replicated log.
 *
 * @param term term of the leader that appended the entry
 * @param index position in the log, starting at 1
 * @param payload content of the entry
 */
public record Entry(long term, long index, Payload payload) {

    /** Validates the components. */
    public Entry {
        Objects.requireNonNull(payload, "payload");
        if (index < 1) {
            throw new IllegalArgumentException("index " + index + " is not positive");
        }
    }
}
