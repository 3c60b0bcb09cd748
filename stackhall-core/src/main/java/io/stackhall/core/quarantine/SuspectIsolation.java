package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps one host's suspects apart: one at a time on an instance, and one copy of each at a time.
 *
 * <p>Load pattern: an instance ends with a dozen requests, and their callers all come again at
 * once. If they met at one instance again, its end would be held against all of them alike.
 *
 * <p>Hosts need no word between them for this: each takes the instance that {@link #rank} puts
 * first for a suspect, so that copies of one suspect meet at one instance, and different suspects
 * mostly don't.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class SuspectIsolation {

    /** The mixing steps of SplitMix64, by which close inputs get numbers that are far apart. */
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;

    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;

    private final Map<UpstreamId, RequestDigest> running = new HashMap<>();

    /** Returns where an instance stands for a suspect: the lowest number is taken first. */
    public static long rank(RequestDigest request, UpstreamId instance) {
        long hash = 31L * request.value().hashCode() + instance.toString().hashCode();
        hash = (hash ^ (hash >>> 30)) * FIRST_MULTIPLIER;
        hash = (hash ^ (hash >>> 27)) * SECOND_MULTIPLIER;
        return (hash ^ (hash >>> 31)) >>> 1;
    }

    /** Returns whether a copy of a suspect is under way. */
    public boolean isRunning(RequestDigest request) {
        return running.containsValue(request);
    }

    /** Returns whether any suspect is under way. */
    public boolean isAnyRunning() {
        return !running.isEmpty();
    }

    /** Returns whether a suspect is under way at an instance. */
    public boolean isOccupied(UpstreamId instance) {
        return running.containsKey(instance);
    }

    /** Notes that a suspect is sent to an instance. */
    public void begin(UpstreamId instance, RequestDigest request) {
        running.put(instance, request);
    }

    /** Notes that a suspect's answer has begun, or that it has left its instance. */
    public void end(UpstreamId instance, RequestDigest request) {
        running.remove(instance, request);
    }
}
