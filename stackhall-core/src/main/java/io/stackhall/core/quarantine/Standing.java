package io.stackhall.core.quarantine;

import java.time.Duration;

/** How a request stands that comes, perhaps not for the first time. */
public sealed interface Standing {

    /** Nothing is held against it. */
    record Clear() implements Standing {}

    /**
     * It was under way at instances that ended, and may have been what ended them: it is run apart
     * from other suspects.
     *
     * @param crashes how many lives of instances have ended under it
     */
    record Suspect(int crashes) implements Standing {}

    /**
     * It ends the instances that run it: it is not run.
     *
     * @param left how much longer it is refused
     */
    record Condemned(Duration left) implements Standing {}
}
