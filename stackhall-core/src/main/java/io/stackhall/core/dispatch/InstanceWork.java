package io.stackhall.core.dispatch;

/**
 * The requests of one host at an instance, and its recent answers.
 *
 * @param requests the number of requests at the instance
 * @param answered the number of requests whose first event has arrived since the last report
 * @param slow how many of those took so long that the next one will miss its latency objective
 */
public record InstanceWork(int requests, int answered, int slow) {

    public InstanceWork {
        if (requests < 0 || answered < 0 || slow < 0) {
            throw new IllegalArgumentException(
                    "negative count: requests="
                            + requests
                            + ", answered="
                            + answered
                            + ", slow="
                            + slow);
        }
    }

    /** Returns the sum of both. */
    public InstanceWork plus(InstanceWork other) {
        return new InstanceWork(
                requests + other.requests, answered + other.answered, slow + other.slow);
    }

    /** Returns whether there is nothing to report. */
    boolean isNothing() {
        return requests == 0 && answered == 0;
    }
}
