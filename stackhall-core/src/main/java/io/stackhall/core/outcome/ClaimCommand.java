package io.stackhall.core.outcome;

import io.stackhall.core.id.AttemptToken;
import java.util.List;

/** A command to a {@link ClaimTable}. */
public sealed interface ClaimCommand {

    /**
     * Requests the right to run a request.
     *
     * @param key the request
     * @param token identifies the attempt; a resent command carries the same one
     * @param fingerprint digest of the request, which prevents a key from being used for another
     *     one
     */
    record Claim(ClaimKey key, AttemptToken token, String fingerprint) implements ClaimCommand {}

    /** The attempt has ended with an answer. */
    record Complete(ClaimKey key, AttemptToken token, StoredAnswer answer)
            implements ClaimCommand {}

    /** The attempt has ended, and it is proved that the request did not run. */
    record Release(ClaimKey key, AttemptToken token) implements ClaimCommand {}

    /** The attempt has ended, and it is unknown whether the request ran. */
    record Abandon(ClaimKey key, AttemptToken token) implements ClaimCommand {}

    /** Removes claims that the leader has held for the retention time of answers. */
    record Forget(List<ClaimKey> keys) implements ClaimCommand {
        /** Copies the list. */
        public Forget {
            keys = List.copyOf(keys);
        }
    }

    /** Ends the time in which a claim made before a loss of memory could still complete. */
    record TrustMemory() implements ClaimCommand {}
}
