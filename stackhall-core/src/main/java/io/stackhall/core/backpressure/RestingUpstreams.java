package io.stackhall.core.backpressure;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Which upstreams want nothing from one host for a while, and how the host comes back to them.
 *
 * <p>Load pattern: an upstream in need turns every request away within a millisecond, and so has
 * less under way than any other. A host that chose by that alone would send it most of what comes.
 *
 * <p>When a rest ends, requests come back one at first and twice as many after each good answer, so
 * that an upstream that is still in need turns away one request and no queue of them. Hosts that
 * were turned away together come back at moments of their own.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class RestingUpstreams {

    /** A host's return is put off by up to this share of the rest. */
    private static final double MAX_JITTER = 0.25;

    /** So many requests under way at once show that the upstream takes them again. */
    private static final int FULL_WINDOW = 16;

    /** Upstreams refuse at once: a request that was not refused by then has been taken in. */
    private static final long ACCEPTED_AFTER_NANOS = Duration.ofMillis(100).toNanos();

    /** Callers that are turned back are told to come one after the other. */
    private static final Duration CALLER_SPACING = Duration.ofMillis(10);

    private final RandomGenerator random;
    private final Map<UpstreamId, Rest> rests = new HashMap<>();

    /** A rest, and the return after it. */
    private static final class Rest {
        private long until;
        private int window = 1;
        private int inFlight;
        private long lastSentAt;
        private int refusedCallers;

        /** Returns whether the host keeps away until a moment that is still to come. */
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

        /** Returns whether a request was sent since the rest has ended. */
        private boolean isAfterRest(long sentAt) {
            return sentAt - until >= 0;
        }
    }

    /** Creates the rests of a host to which nobody has said anything. */
    public RestingUpstreams(RandomGenerator random) {
        this.random = random;
    }

    /** Notes that an upstream has turned a request away and wants nothing more for some time. */
    void startRest(UpstreamId id, Duration time, long now) {
        if (time.isPositive()) {
            Rest rest = rests.computeIfAbsent(id, key -> new Rest());
            double spread = 1 + MAX_JITTER * random.nextDouble();
            rest.extend(now + (long) (time.toNanos() * spread), now);
        }
    }

    /** Returns whether this host keeps away from an upstream altogether. */
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

    /** Returns how much longer this host keeps away from an upstream. */
    Duration remaining(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null || !rest.isActive(now)
                ? Duration.ZERO
                : Duration.ofNanos(rest.until - now);
    }

    /** Returns when one more caller that is turned back for an upstream may come again. */
    Duration callerRetryDelay(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null
                ? Duration.ZERO
                : remaining(id, now).plus(CALLER_SPACING.multipliedBy(rest.refusedCallers++));
    }

    /** Notes that a request is sent to an upstream. */
    void sent(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        if (rest != null && rest.isAfterRest(now)) {
            rest.inFlight++;
            rest.lastSentAt = now;
        }
    }

    /**
     * Notes that an upstream has taken a request in.
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
     * Notes that a request has left an upstream without an answer.
     *
     * @param sentAt when the request was sent
     */
    void unanswered(UpstreamId id, long sentAt) {
        Rest rest = rests.get(id);
        if (rest != null && rest.isAfterRest(sentAt)) {
            rest.inFlight = Math.max(0, rest.inFlight - 1);
        }
    }

    /** Forgets an upstream that is gone. */
    void forget(UpstreamId id) {
        rests.remove(id);
    }

    /** Returns how many upstreams this host keeps away from, or is coming back to. */
    int size() {
        return rests.size();
    }
}
