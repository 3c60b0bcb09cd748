package io.stackhall.core.id;

/**
 * A typed identifier: a non-blank text of at most 200 characters, without control characters.
 *
 * @see IdText
 */
public interface Id {

    /** Returns the text of the id. */
    String value();
}
