package io.stackhall.core.quarantine;

import java.util.List;

/**
 * What may crash the instances that run it: a request, whatever its caller names it, or a part of
 * the prompt of several requests.
 */
public sealed interface CrashCause permits RequestDigest, PromptPartDigest {

    /** Returns whether a text has the format of a digest. */
    static boolean isDigest(String text) {
        return RequestDigest.isDigest(text);
    }

    /**
     * Returns the causes that a digest may stand for: its kind cannot be told from its digits.
     *
     * @throws IllegalArgumentException if the text is not a digest
     */
    static List<CrashCause> allOf(String digest) {
        return List.of(new RequestDigest(digest), new PromptPartDigest(digest));
    }

    /** Returns the 32 hexadecimal digits of its digest. */
    String value();

    /** Returns the word for what it is in logs and lists. */
    default String kind() {
        return switch (this) {
            case RequestDigest request -> "request";
            case PromptPartDigest part -> "part";
        };
    }
}
