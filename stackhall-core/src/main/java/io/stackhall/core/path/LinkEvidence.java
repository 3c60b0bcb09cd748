package io.stackhall.core.path;

import java.util.Optional;

/**
 * Decides whether a host whose connection to one upstream was refused may say that nobody listens
 * there, by its connections to others of the same kind.
 *
 * <p>Answers the load of hosts that ask one another for the way to upstreams while several of them
 * have lost their links: whoever took the refusal of another host's link for the word of the
 * upstream gave that upstream up, though others reach it.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class LinkEvidence {

    /** Enough that two upstreams which end together do not pass for lost links. */
    private static final int MAX_CHECKED = 3;

    private final int wanted;
    private int connected;
    private int failed;

    /**
     * Creates evidence without checks.
     *
     * @param others the other upstreams of the kind
     * @param unbroken those of them to which no connection of this host fails
     */
    public LinkEvidence(int others, int unbroken) {
        boolean mostBroken = areMostBroken(others, unbroken);
        this.wanted = mostBroken ? 0 : Math.min(unbroken, MAX_CHECKED);
        if (mostBroken) {
            failed = 1;
        }
    }

    /**
     * Returns whether connections to most upstreams fail, so that the host's links are to blame.
     *
     * @param all the upstreams
     * @param unbroken those of them to which no connection fails
     */
    public static boolean areMostBroken(int all, int unbroken) {
        return 2 * unbroken < all;
    }

    /** Returns the number of unbroken upstreams to connect to, zero if none is needed. */
    public int wanted() {
        return wanted;
    }

    /** Records whether a connection to one of them came up. */
    public void record(boolean cameUp) {
        if (cameUp) {
            connected++;
        } else {
            failed++;
        }
    }

    /**
     * Returns whether the links of this host work, once it is known: half of the connections come
     * up, or there is no other upstream to tell it by.
     */
    public Optional<Boolean> verdict() {
        int needed = (wanted + 1) / 2;
        if (failed > wanted - needed) {
            return Optional.of(false);
        }
        return connected >= needed ? Optional.of(true) : Optional.empty();
    }
}
