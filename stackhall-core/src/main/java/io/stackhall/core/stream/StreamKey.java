package io.stackhall.core.stream;

import io.stackhall.core.hash.Sha256;
import java.nio.ByteBuffer;

/**
 * Identifies a stream among hosts by a hash of the id under which its caller got the first event.
 * Among a million streams, two have the same key with a probability of 3 in 100 million.
 *
 * @param value the first eight bytes of a SHA-256 hash
 */
public record StreamKey(long value) {

    /** Returns the key of the stream whose first event came with an attempt of the given id. */
    public static StreamKey of(String attemptId) {
        return new StreamKey(ByteBuffer.wrap(Sha256.of(attemptId)).getLong());
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
