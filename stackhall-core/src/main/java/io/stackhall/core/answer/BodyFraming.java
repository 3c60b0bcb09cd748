package io.stackhall.core.answer;

/** By what the end of an answer's body is recognized. */
public enum BodyFraming {
    /** A length in its head; answers without a body belong here as well. */
    LENGTH,
    /** Its last chunk. */
    CHUNKED,
    /** The orderly end of its connection. */
    CONNECTION
}
