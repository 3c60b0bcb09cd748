package io.stackhall.core.hash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes SHA-256 hashes. */
public final class Sha256 {

    private Sha256() {}

    /** Returns a hash to which nothing has been added. */
    public static MessageDigest start() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /** Returns the hash of a text in UTF-8. */
    public static byte[] of(String text) {
        return start().digest(text.getBytes(StandardCharsets.UTF_8));
    }
}
