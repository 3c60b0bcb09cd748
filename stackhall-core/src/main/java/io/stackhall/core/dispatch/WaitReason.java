package io.stackhall.core.dispatch;

/** What a request waits for, as the log tells it. */
public enum WaitReason {
    /** Nothing yet. */
    NOTHING,
    /** Its model is resident nowhere, and no load of it has been announced. */
    MODEL_ABSENT,
    /** Its model is being loaded. */
    MODEL_LOADING,
    /** Its adapter. */
    ADAPTER,
    /** A place: every instance that could run it has as much as it takes from this host. */
    FULL,
    /** An instance of its service. */
    NO_INSTANCE,
    /** An instance without another request that may have ended one. */
    APART,
    /** A permit for an instance that takes only so many requests a second. */
    LIMIT,
    /** The end of the rest that an instance wants from this host. */
    REST,
    /** Word whether its customer may have it run. */
    ALLOWANCE
}
