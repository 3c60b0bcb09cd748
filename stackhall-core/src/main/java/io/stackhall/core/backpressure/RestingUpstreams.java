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
    private static final double SPREAD_SHARE = 0.25;

    /** So many requests under way at once show that the upstream takes them again. */
    private static final int WHOLE_WINDOW = 16;

    /** Upstreams refuse at once: a request that was not refused by then has been taken in. */
    private static final long TAKEN_NANOS = Duration.ofMillis(100).toNanos();

    /** Callers that are turned back are told to come one after the other. */
    private static final Duration BETWEEN_CALLERS = Duration.ofMillis(10);

    private final RandomGenerator random;
    private final Map<UpstreamId, Rest> rests = new HashMap<>();

    /** A rest, and the return after it. */
    private static final class Rest {
        private long until;
        private int window = 1;
        private int underWay;
        private long lastSentAt;
        private int turnedBack;

        /** Returns whether the host keeps away until a moment that is still to come. */
        private boolean lasts(long now) {
            return now - until < 0;
        }

        private void beginAgain(long end, long now) {
            if (!lasts(now) || end - until > 0) {
                until = end;
            }
            window = 1;
            underWay = 0;
            turnedBack = 0;
        }

        /** Returns whether a request was sent since the rest has ended. */
        private boolean isTrial(long sentAt) {
            return sentAt - until >= 0;
        }
    }

    /** Creates the rests of a host to which nobody has said anything. */
    public RestingUpstreams(RandomGenerator random) {
        this.random = random;
    }

    /** Notes that an upstream has turned a request away and wants nothing more for some time. */
    void wantsRest(UpstreamId id, Duration time, long now) {
        if (time.isPositive()) {
            Rest rest = rests.computeIfAbsent(id, key -> new Rest());
            double spread = 1 + SPREAD_SHARE * random.nextDouble();
            rest.beginAgain(now + (long) (time.toNanos() * spread), now);
        }
    }

    /** Returns whether this host keeps away from an upstream altogether. */
    boolean rests(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest != null && rest.lasts(now);
    }

    /** Returns whether this host may send an upstream a request now. */
    boolean allows(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null
                || (!rest.lasts(now)
                        && (rest.underWay < rest.window || now - rest.lastSentAt > TAKEN_NANOS));
    }

    /** Returns how much longer this host keeps away from an upstream. */
    Duration left(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null || !rest.lasts(now)
                ? Duration.ZERO
                : Duration.ofNanos(rest.until - now);
    }

    /** Returns when one more caller that is turned back for an upstream may come again. */
    Duration callerReturns(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        return rest == null
                ? Duration.ZERO
                : left(id, now).plus(BETWEEN_CALLERS.multipliedBy(rest.turnedBack++));
    }

    /** Notes that a request is sent to an upstream. */
    void sent(UpstreamId id, long now) {
        Rest rest = rests.get(id);
        if (rest != null && rest.isTrial(now)) {
            rest.underWay++;
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
        if (rest == null || !rest.isTrial(sentAt)) {
            return;
        }
        rest.underWay = Math.max(0, rest.underWay - 1);
        rest.window *= 2;
        if (rest.window > WHOLE_WINDOW) {
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
        if (rest != null && rest.isTrial(sentAt)) {
            rest.underWay = Math.max(0, rest.underWay - 1);
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
