package io.stackhall.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Knows a request again that comes another time, at any host, under another id.
 *
 * <p>It covers what is asked for and nothing of how it came: no other header, no connection, no
 * framing. Two requests of different content have the same digest with a chance of 2^-64 among 2^32
 * requests.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestDigest(String value) {

    private static final int BYTES = 16;
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{" + 2 * BYTES + "}");

    /** Checks the text. */
    public RequestDigest {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("'" + value + "' is no digest of a request");
        }
    }

    /** Returns the digest that a text names, if it is one. */
    public static Optional<RequestDigest> parse(String text) {
        return PATTERN.matcher(text).matches()
                ? Optional.of(new RequestDigest(text))
                : Optional.empty();
    }

    /**
     * Computes the digest of a request.
     *
     * @param method its method
     * @param authority whom it is addressed to, in whichever case
     * @param target its path and query
     * @param body its whole body, out of whichever framing
     */
    public static RequestDigest of(String method, String authority, String target, byte[] body) {
        MessageDigest hash = sha256();
        add(hash, method);
        add(hash, authority.toLowerCase(Locale.ROOT));
        add(hash, target);
        hash.update(body);
        return new RequestDigest(HexFormat.of().formatHex(hash.digest(), 0, BYTES));
    }

    /** The zero byte, which none of these texts has, keeps one from running into the next. */
    private static void add(MessageDigest hash, String text) {
        hash.update(text.getBytes(StandardCharsets.UTF_8));
        hash.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
