package io.stackhall.core.dispatch;

/**
 * What one host has at an instance, and what has come of it lately.
 *
 * @param requests requests that are there
 * @param answered requests whose first event has come since the last report
 * @param slow how many of these took so long that the next one will be late
 */
public record InstanceWork(int requests, int answered, int slow) {

    /** Checks that nothing is negative. */
    public InstanceWork {
        if (requests < 0 || answered < 0 || slow < 0) {
            throw new IllegalArgumentException(
                    "negative work: " + requests + ", " + answered + ", " + slow);
        }
    }

    /** Returns both together. */
    public InstanceWork plus(InstanceWork other) {
        return new InstanceWork(
                requests + other.requests, answered + other.answered, slow + other.slow);
    }

    /** Returns whether there is nothing to tell. */
    boolean isNothing() {
        return requests == 0 && answered == 0;
    }
}
