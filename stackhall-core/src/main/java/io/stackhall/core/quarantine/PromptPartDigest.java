package io.stackhall.core.quarantine;

import io.stackhall.core.hash.Sha256;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/**
 * Identifies a part of a prompt that several requests may share, whatever model or service they are
 * for. It hides the caller's name of the part and has a fixed length.
 *
 * @param value 32 hexadecimal digits
 */
public record PromptPartDigest(String value) implements CrashCause {

    /** Bytes of the digest: two parts have the same one with a probability of 2^-64 among 2^32. */
    private static final int BYTES = 16;

    /** Checks the format. */
    public PromptPartDigest {
        RequestDigest.checkFormat(value);
    }

    /**
     * Computes the digest of a part.
     *
     * @param id the caller's id of the part, in the one spelling that all hosts use
     */
    public static PromptPartDigest of(String id) {
        byte[] text = id.getBytes(StandardCharsets.UTF_8);
        MessageDigest hash = Sha256.start();
        return new PromptPartDigest(HexFormat.of().formatHex(hash.digest(text), 0, BYTES));
    }

    @Override
    public String toString() {
        return value;
    }
}
