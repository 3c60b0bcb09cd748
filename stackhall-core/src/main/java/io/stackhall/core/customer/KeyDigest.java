package io.stackhall.core.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a customer's key, by which hosts know the key without keeping it.
 *
 * <p>Two digests are compared in constant time, so that nobody learns a key by the time that a
 * wrong one takes.
 */
public final class KeyDigest {

    private final byte[] sha256;

    private KeyDigest(byte[] sha256) {
        this.sha256 = sha256;
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new KeyDigest(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /**
     * Returns a digest that is told as text.
     *
     * @throws IllegalArgumentException if the text is not hexadecimal
     */
    public static KeyDigest parse(String hexadecimal) {
        return new KeyDigest(HexFormat.of().parseHex(hexadecimal));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && MessageDigest.isEqual(sha256, that.sha256);
    }

    @Override
    public int hashCode() {
        int hash = 0;
        for (int at = 0; at < Math.min(Integer.BYTES, sha256.length); at++) {
            hash = (hash << Byte.SIZE) | (sha256[at] & 0xff);
        }
        return hash;
    }

    /** Says nothing of the key, so that no log does. */
    @Override
    public String toString() {
        return "key";
    }
}
