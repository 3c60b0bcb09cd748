package io.stackhall.core.customer;

import io.stackhall.core.hash.Sha256;
import java.security.MessageDigest;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a customer's key, by which hosts recognize the key without storing it.
 *
 * <p>Digests are compared in constant time, so that the time of a comparison reveals nothing about
 * a key.
 */
public final class KeyDigest {

    private final byte[] sha256;

    private KeyDigest(byte[] sha256) {
        this.sha256 = sha256;
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        return new KeyDigest(Sha256.of(key));
    }

    /**
     * Parses a digest.
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
