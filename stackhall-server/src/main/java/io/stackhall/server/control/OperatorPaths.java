package io.stackhall.server.control;

/**
 * HTTP paths on a control host under which operators inspect and correct what the system has
 * detected itself.
 */
public final class OperatorPaths {

    /** Lists the requests that are refused because they crash instances. */
    public static final String REFUSED_REQUESTS = "/-/refused-requests";

    /** Lists the rate limits that upstreams announce, and the upstreams that are draining. */
    public static final String UPSTREAM_LIMITS = "/-/upstream-limits";

    private OperatorPaths() {}

    /** Returns the path that lifts the refusal of one request. */
    public static String refusedRequest(String digest) {
        return REFUSED_REQUESTS + "/" + digest;
    }
}
