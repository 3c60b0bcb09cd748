package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;

/**
 * Isolates the suspects of one host: at most one at a time on an instance, and one request with
 * each suspected cause at a time.
 *
 * <p>Load pattern: an instance crashes with a dozen requests in progress, and all their callers
 * retry at once. If the retries met at one instance again, its crash would be attributed to all of
 * them alike.
 *
 * <p>Hosts need no coordination for this: each takes the instance that {@link #rank} puts first for
 * a cause (rendezvous hashing), so that requests with one cause meet at one instance, and those
 * with different causes mostly do not.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class SuspectIsolation {

    /**
     * Multipliers of the SplitMix64 finalizer, which spreads similar inputs over the whole range.
     */
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;

    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;

    private final Map<UpstreamId, CrashCause> running = new HashMap<>();

    /** Returns the rank of an instance for a suspected cause: the lowest one is taken first. */
    public static long rank(CrashCause cause, UpstreamId instance) {
        long hash = 31L * cause.value().hashCode() + instance.toString().hashCode();
        hash = (hash ^ (hash >>> 30)) * FIRST_MULTIPLIER;
        hash = (hash ^ (hash >>> 27)) * SECOND_MULTIPLIER;
        return (hash ^ (hash >>> 31)) >>> 1;
    }

    /** Returns whether a request with a cause is in progress. */
    public boolean isRunning(CrashCause cause) {
        return running.containsValue(cause);
    }

    /** Returns whether any suspect is in progress. */
    public boolean isAnyRunning() {
        return !running.isEmpty();
    }

    /** Returns whether a suspect is in progress at an instance. */
    public boolean isOccupied(UpstreamId instance) {
        return running.containsKey(instance);
    }

    /** Records that a suspect is sent to an instance. */
    public void begin(UpstreamId instance, CrashCause cause) {
        running.put(instance, cause);
    }

    /**
     * Records that the answer to a suspect has begun, or that it no longer runs at its instance.
     */
    public void end(UpstreamId instance, CrashCause cause) {
        running.remove(instance, cause);
    }
}
