package io.stackhall.core.backpressure;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Tracks upstreams that asked one host to send no requests for some time, a rest, and ramps
 * requests up again afterwards.
 *
 * <p>Load pattern: an overloaded upstream refuses every request within a millisecond, and so has
 * fewer requests in flight than any other. A host that balanced by that number alone would send it
 * most requests.
 *
 * <p>When a rest ends, one request is sent at first, and the window doubles after each answer, so
 * that an upstream that is still overloaded refuses one request and not a whole queue. A random
 * delay keeps hosts that were refused together from returning together.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class RestingUpstreams {

    /** Largest random delay of a host's return, as a fraction of the rest. */
    private static final double MAX_JITTER = 0.25;

    /** A window beyond this many requests shows that the upstream accepts requests again. */
    private static final int FULL_WINDOW = 16;

    /**
     * Upstreams refuse at once: a request that is not refused within this time counts as accepted.
     */
    private static final long ACCEPTED_AFTER_NANOS = Duration.ofMillis(100).toNanos();

    /** Difference between the retry delays of refused callers, so that they return one by one. */
    private static final Duration CALLER_SPACING = Duration.ofMillis(10);

    private final RandomGenerator random;
    private final Map<UpstreamId, Rest> rests = new HashMap<>();

    /** A rest, and the ramp-up after it. */
    private static final class Rest {
        private long until;
        private int window = 1;
        private int inFlight;
        private long lastSentAt;
        private int refusedCallers;

        /** Returns whether the rest has not ended yet. */
        private boolean isActive(long now) {
            return now - until < 0;
        }

        private void extend(long end, long now) {
            if (!isActive(now) || end - until > 0) {
                until = end;
            }
            window = 1;
            inFlight = 0;
            refusedCallers = 0;
        }

        /** Returns whether a request was sent after the rest ended. */
        private boolean isAfterRest(long sentAt) {
            return sentAt - until >= 0;
        }
    }

    /** Creates the state of a host without rests. */
    public RestingUpstreams(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Starts or extends the rest of an upstream that refused a request and named a time to wait.
     */
    void startRest(UpstreamId id, Duration time, long now) {
        if (time.isPositive()) {
            Rest rest = rests.computeIfAbsent(id, key -> new Rest());
            double jitter = 1 + MAX_JITTER * random.nextDouble();
            rest.extend(now + (long) (time.toNanos() * jitter), now);
        }
    }

    /** Returns whether an upstream rests, so that this host sends it no requests. */
    boolean isResting(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest != null && rest.isActive(now);
    }

    /** Returns whether this host may send an upstream a request now. */
    boolean allows(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null
                || (!rest.isActive(now)
                        && (rest.inFlight < rest.window
                                || now - rest.lastSentAt > ACCEPTED_AFTER_NANOS));
    }

    /** Returns how much longer the rest of an upstream lasts. */
    Duration remaining(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null || !rest.isActive(now)
                ? Duration.ZERO
                : Duration.ofNanos(rest.until - now);
    }

    /** Returns the retry delay of one more caller whose request is refused for a rest. */
    Duration callerRetryDelay(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null
                ? Duration.ZERO
                : remaining(id, now).plus(CALLER_SPACING.multipliedBy(rest.refusedCallers++));
    }

    /** Records that a request is sent to an upstream. */
    void sent(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        if (rest != null && rest.isAfterRest(now)) {
            rest.inFlight++;
            rest.lastSentAt = now;
        }
    }

    /**
     * Records that an upstream accepted a request.
     *
     * @param sentAt when the request was sent
     */
    void answered(UpstreamId id, long sentAt) {
        Rest rest = rests.get(id);
        if (rest == null || !rest.isAfterRest(sentAt)) {
            return;
        }
        rest.inFlight = Math.max(0, rest.inFlight - 1);
        rest.window *= 2;
        if (rest.window > FULL_WINDOW) {
            rests.remove(id);
        }
    }

    /**
     * Records that a request ended without an answer.
     *
     * @param sentAt when the request was sent
     */
    void unanswered(UpstreamId id, long sentAt) {
        Rest rest = rests.get(id);
        if (rest != null && rest.isAfterRest(sentAt)) {
            rest.inFlight = Math.max(0, rest.inFlight - 1);
        }
    }

    /** Removes an upstream that is gone. */
    void forget(UpstreamId id) {
        rests.remove(id);
    }

    /** Returns the number of upstreams that rest or are being ramped up after a rest. */
    int size() {
        return rests.size();
    }
}
