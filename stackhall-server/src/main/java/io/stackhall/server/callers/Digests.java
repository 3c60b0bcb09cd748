package io.stackhall.server.callers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of requests. */
final class Digests {

    private static final int PREFIX_CHARACTERS = 256;

    private Digests() {}

    /** Returns the SHA-256 of several parts, each preceded by its length. */
    static byte[] sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
                digest.update(part);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Returns a digest that detects whether a key is reused for a different request. */
    static String fingerprint(String method, String path, byte[] body) {
        byte[] digest =
                sha256(
                        method.getBytes(StandardCharsets.UTF_8),
                        path.getBytes(StandardCharsets.UTF_8),
                        body);
        return HexFormat.of().formatHex(digest, 0, 16);
    }

    /** Returns a digest of the first 256 characters of a prompt, never 0. */
    static long prefix(String prompt) {
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        byte[] digest = sha256(prefix.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(digest).getLong() | 1L;
    }
}
