package io.stackhall.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream among hosts by a hash of the id under which its caller got the first event.
 * Among a million streams, two have the same key with a probability of 3 in 100 million.
 *
 * @param value the first eight bytes of a SHA-256 hash
 */
public record StreamKey(long value) {

    /** Returns the key of the stream whose first event came with an attempt of the given id. */
    public static StreamKey of(String attemptId) {
        try {
            MessageDigest hash = MessageDigest.getInstance("SHA-256");
            byte[] bytes = hash.digest(attemptId.getBytes(StandardCharsets.UTF_8));
            return new StreamKey(ByteBuffer.wrap(bytes).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
