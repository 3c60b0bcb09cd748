package io.stackhall.core.routing;

/** The result of an attempt, as far as the upstream's health is concerned. */
public enum AttemptResult {
    /** The upstream answered. */
    SERVED,
    /** The upstream reported that it is too busy. */
    OVERLOADED,
    /** The upstream failed, or gave no answer. */
    FAILED,
    /** The caller disconnected; this shows nothing about the upstream. */
    WITHDRAWN
}
