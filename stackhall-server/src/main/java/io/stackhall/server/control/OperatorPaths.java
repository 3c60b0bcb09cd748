package io.stackhall.server.control;

/** Where a control host answers an operator about what this system has found out by itself. */
public final class OperatorPaths {

    /** Lists the requests that are refused because instances end under them. */
    public static final String REFUSED_REQUESTS = "/-/refused-requests";

    /** Lists the limits that upstreams name, and the upstreams that leave. */
    public static final String UPSTREAM_LIMITS = "/-/upstream-limits";

    private OperatorPaths() {}

    /** Returns where one of the refused requests is served again. */
    public static String refusedRequest(String digest) {
        return REFUSED_REQUESTS + "/" + digest;
    }
}
