package io.stackhall.core.dispatch;

/** What a request waits for, as it is written to the log. */
public enum WaitReason {
    /** Nothing yet. */
    NOTHING,
    /** Its model is resident nowhere, and no load of it has been announced. */
    MODEL_ABSENT,
    /** Its model is being loaded. */
    MODEL_LOADING,
    /** Its adapter is not resident. */
    ADAPTER,
    /**
     * A free slot: every instance that could run it has as many requests as it accepts from this
     * host.
     */
    FULL,
    /** No instance of its service is known. */
    NO_INSTANCE,
    /** An instance that runs no other suspect, a request that may have crashed an instance. */
    APART,
    /** A permit for an instance that accepts only a limited number of requests per second. */
    LIMIT,
    /** The end of a rest: an instance has asked this host to send nothing for a while. */
    REST,
    /** The decision whether the allowance of its customer covers it. */
    ALLOWANCE
}
