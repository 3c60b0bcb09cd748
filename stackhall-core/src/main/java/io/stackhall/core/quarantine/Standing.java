package io.stackhall.core.quarantine;

import java.time.Duration;

/** Whether a request is known to crash instances, and how it is handled because of that. */
public sealed interface Standing extends Comparable<Standing> {

    /** No crash is attributed to it. */
    record Clear() implements Standing {}

    /**
     * It was in progress at instances that crashed, and may have been the cause: it is run isolated
     * from other suspects.
     *
     * @param cause the request, or the part of its prompt, that may have been the cause
     * @param crashes how many crashes of instances are attributed to it
     */
    record Suspect(CrashCause cause, int crashes) implements Standing {}

    /**
     * It crashes the instances that run it: it is refused.
     *
     * @param cause the request, or the part of its prompt, that is the cause
     * @param left how much longer it is refused
     */
    record Condemned(CrashCause cause, Duration left) implements Standing {}

    /**
     * Compares by severity. Of two suspects the one with more crashes is worse; with as many, a
     * part of a prompt is, since it has more requests to isolate.
     */
    @Override
    default int compareTo(Standing other) {
        return Long.compare(severity(this), severity(other));
    }

    private static long severity(Standing standing) {
        return switch (standing) {
            case Clear() -> 0;
            case Suspect(PromptPartDigest part, int crashes) -> 2L * crashes + 1;
            case Suspect(RequestDigest request, int crashes) -> 2L * crashes;
            case Condemned(CrashCause cause, Duration left) -> Long.MAX_VALUE;
        };
    }
}
