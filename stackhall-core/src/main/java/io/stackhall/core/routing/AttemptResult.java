package io.stackhall.core.routing;

/** How an attempt on an upstream ended, as far as the upstream's health is concerned. */
public enum AttemptResult {
    /** The upstream answered. */
    SERVED,
    /** The upstream said that it is too busy. */
    OVERLOADED,
    /** The upstream failed, or gave no answer. */
    FAILED,
    /** The caller went away; this says nothing of the upstream. */
    WITHDRAWN
}
