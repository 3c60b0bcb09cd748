package io.stackhall.core.answer;

import java.util.List;

/** By what the end of an answer's body is recognized. */
public enum BodyFraming {
    /** A length in its head; answers without a body belong here as well. */
    LENGTH,
    /** Its last chunk. */
    CHUNKED,
    /** The orderly end of its connection. */
    CONNECTION;

    private static final String CHUNKED_CODING = "chunked";

    /**
     * Returns whether the body of an answer with these transfer codings can be read. Any coding
     * other than chunked changes the body, and a length beside one is not that of the body.
     *
     * @param transferCodings the values of the answer's Transfer-Encoding headers
     */
    public static boolean isReadable(List<String> transferCodings) {
        return switch (transferCodings.size()) {
            case 0 -> true;
            case 1 -> transferCodings.getFirst().strip().equalsIgnoreCase(CHUNKED_CODING);
            default -> false;
        };
    }
}
