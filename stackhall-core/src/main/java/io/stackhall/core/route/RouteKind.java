package io.stackhall.core.route;

/** How the requests of a route may be run and answered. */
public enum RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,
    /** A request may run at most once. */
    AT_MOST_ONCE,
    /** The answer is an event stream; a request may run at most once unless it can be resumed. */
    STREAM
}
