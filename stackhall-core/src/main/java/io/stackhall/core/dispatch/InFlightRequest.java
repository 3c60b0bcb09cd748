package io.stackhall.core.dispatch;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.overload.LoopDelayMeter;

/** A request that is being sent to, or is running at, an instance. */
public final class InFlightRequest {

    private static final double MIN_UPSTREAM_SHARE = 0.5;

    private final UpstreamId instance;
    private final Need need;
    private final long uncachedTokens;
    private final boolean nothingUnread;
    private final double workAhead;
    private final long startedAt;
    private long writeDelay;
    private boolean answered;
    private boolean ended;

    private InFlightRequest(
            UpstreamId instance,
            Need need,
            long uncachedTokens,
            boolean nothingUnread,
            double workAhead,
            long startedAt) {
        this.instance = instance;
        this.need = need;
        this.uncachedTokens = uncachedTokens;
        this.nothingUnread = nothingUnread;
        this.workAhead = workAhead;
        this.startedAt = startedAt;
    }

    /**
     * Creates the handle of a request that is sent now.
     *
     * @param load the load of its instance, without this request
     * @param ofService the rate of the engines of its service
     */
    static InFlightRequest of(
            UpstreamId instance, Need need, InstanceLoad load, PrefillRate ofService, long now) {
        PrefillRate rate = load.currentRate(ofService, now);
        double workAhead = load.workAhead(load.expectedUnreadTokens(rate, now), need, now);
        return new InFlightRequest(
                instance,
                need,
                load.uncachedTokens(need),
                load.unreadTokens(rate, now) <= 0,
                workAhead,
                now);
    }

    public UpstreamId instance() {
        return instance;
    }

    public Need need() {
        return need;
    }

    /** Returns when the request was sent, on the monotonic clock in nanoseconds. */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Records how long this host has held the request up before it writes it.
     *
     * @param hostDelay in nanoseconds
     */
    public void recordDelayBeforeWrite(long hostDelay) {
        writeDelay = hostDelay;
    }

    /** Returns the time since the request was sent, without the delay of this host. */
    long upstreamNanos(LoopDelayMeter hostDelay, long now) {
        long since = startedAt + writeDelay;
        return Math.max(0, now - since - hostDelay.unnoticedNanos(since, now));
    }

    /**
     * Returns whether most of the time since the request was sent is the instance's. A time that is
     * mostly the delay of this host says too little of the instance's rate.
     */
    boolean isMostlyUpstreamTime(long upstreamNanos, long now) {
        return upstreamNanos >= MIN_UPSTREAM_SHARE * (now - startedAt);
    }

    /** Returns the prompt tokens that the instance was expected to process. */
    long uncachedTokens() {
        return uncachedTokens;
    }

    /**
     * Returns whether the instance had no other prompt to process when the request was sent, as far
     * as is known.
     */
    boolean nothingUnread() {
        return nothingUnread;
    }

    /**
     * Returns the work that was expected before its first event when the request was sent, in
     * prompt tokens.
     */
    double workAhead() {
        return workAhead;
    }

    /** Marks the request as answered, and returns whether it was not marked before. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    /** Marks the request as ended, and returns whether it was not marked before. */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
