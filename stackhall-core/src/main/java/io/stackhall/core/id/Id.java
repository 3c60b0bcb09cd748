package io.stackhall.core.id;

/**
 * A name with a type. Every id is a short, printable, non-blank text.
 *
 * @see IdText
 */
public interface Id {

    /** Returns the text of the id. */
    String value();
}
