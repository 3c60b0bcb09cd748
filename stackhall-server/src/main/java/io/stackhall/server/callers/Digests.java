package io.stackhall.server.callers;

import io.stackhall.core.hash.Sha256;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/** Computes digests of requests. */
final class Digests {

    private static final int PREFIX_CHARACTERS = 256;

    private Digests() {}

    /** Returns the SHA-256 of several parts, each preceded by its length. */
    static byte[] sha256(byte[]... parts) {
        MessageDigest digest = Sha256.start();
        for (byte[] part : parts) {
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
            digest.update(part);
        }
        return digest.digest();
    }

    static byte[] sha256(byte[] bytes) {
        return Sha256.start().digest(bytes);
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
