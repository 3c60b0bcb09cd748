package io.stackhall.core.quarantine;

/**
 * How a possible cause was present at a crash.
 *
 * @param round its round, as of {@link Crash}, from 1
 * @param position the position of a part in its prompt, from 1; 0 for a whole request
 */
public record Presence(int round, int position) {

    /** The presence of a whole request. */
    public static final Presence OF_REQUEST = new Presence(1, 0);

    /** Returns the later round and position of two reports of one crash. */
    Presence merge(Presence other) {
        return new Presence(Math.max(round, other.round), Math.max(position, other.position));
    }
}
