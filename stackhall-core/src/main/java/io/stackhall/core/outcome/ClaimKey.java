package io.stackhall.core.outcome;

import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.IdempotencyKey;
import java.util.Objects;

/**
 * Names a request that must not run twice. Keys of different callers never meet.
 *
 * @param caller whose request it is
 * @param key the caller's name for it
 */
public record ClaimKey(CustomerId caller, IdempotencyKey key) {

    /** Checks the parts. */
    public ClaimKey {
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }

    @Override
    public String toString() {
        return caller + "/" + key;
    }
}
