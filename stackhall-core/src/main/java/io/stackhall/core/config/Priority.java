package io.stackhall.core.config;

/** Priority of requests, highest first. */
public enum Priority {
    /** A caller is waiting for the result and must not be delayed. */
    URGENT,
    /** A caller is waiting for the result. */
    NORMAL,
    /** No caller is waiting; the work may be delayed but must not be lost. */
    DEFERRED
}
