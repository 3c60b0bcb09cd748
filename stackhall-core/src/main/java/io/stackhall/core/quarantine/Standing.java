package io.stackhall.core.quarantine;

import java.time.Duration;

/** Whether a request is known to crash instances, and how it is handled because of that. */
public sealed interface Standing {

    /** No crash is attributed to it. */
    record Clear() implements Standing {}

    /**
     * It was in progress at instances that crashed, and may have been the cause: it is run isolated
     * from other suspects.
     *
     * @param crashes how many crashes of instances are attributed to it
     */
    record Suspect(int crashes) implements Standing {}

    /**
     * It crashes the instances that run it: it is refused.
     *
     * @param left how much longer it is refused
     */
    record Condemned(Duration left) implements Standing {}
}
