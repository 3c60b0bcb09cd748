package io.stackhall.core.quarantine;

import io.stackhall.core.hash.Sha256;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Identifies a request by its content, so that a repetition is recognized at any host and under any
 * id.
 *
 * <p>It covers the method, the authority, the target and the body, but no other header, connection
 * or framing. Two requests of different content have the same digest with a probability of 2^-64
 * among 2^32 requests.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestDigest(String value) implements CrashCause {

    private static final int BYTES = 16;
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{" + 2 * BYTES + "}");

    /** Checks the format. */
    public RequestDigest {
        checkFormat(value);
    }

    /** Returns whether a text has the format of a digest. */
    static boolean isDigest(String text) {
        return PATTERN.matcher(text).matches();
    }

    /**
     * Checks that a text has the format of a digest.
     *
     * @throws IllegalArgumentException if it does not
     */
    static void checkFormat(String text) {
        if (!isDigest(text)) {
            throw new IllegalArgumentException("'" + text + "' is not a digest");
        }
    }

    /**
     * Computes the digest of a request.
     *
     * @param method the HTTP method
     * @param authority the host name that the request is addressed to; case is ignored
     * @param target the path and query
     * @param body the whole body, without transfer coding
     */
    public static RequestDigest of(String method, String authority, String target, byte[] body) {
        MessageDigest hash = Sha256.start();
        add(hash, method);
        add(hash, authority.toLowerCase(Locale.ROOT));
        add(hash, target);
        hash.update(body);
        return new RequestDigest(HexFormat.of().formatHex(hash.digest(), 0, BYTES));
    }

    /**
     * Appends a zero byte, which none of these texts contains, to separate one field from the next.
     */
    private static void add(MessageDigest hash, String text) {
        hash.update(text.getBytes(StandardCharsets.UTF_8));
        hash.update((byte) 0);
    }

    @Override
    public String toString() {
        return value;
    }
}
