package io.stackhall.core.outcome;

import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.IdempotencyKey;
import java.util.Objects;

/**
 * Identifies a request that must not run twice. Keys of different customers are independent.
 *
 * @param caller the customer
 * @param key the idempotency key that the caller chose
 */
public record ClaimKey(CustomerId caller, IdempotencyKey key) {

    /** Checks that no component is null. */
    public ClaimKey {
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }

    @Override
    public String toString() {
        return caller + "/" + key;
    }
}
