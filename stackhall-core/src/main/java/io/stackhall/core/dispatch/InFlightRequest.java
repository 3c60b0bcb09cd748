package io.stackhall.core.dispatch;

import io.stackhall.core.id.UpstreamId;

/** A request that is being sent to, or is running at, an instance. */
public final class InFlightRequest {

    private final UpstreamId instance;
    private final Need need;
    private final long uncachedTokens;
    private final boolean nothingUnread;
    private final double workAhead;
    private final long startedAt;
    private boolean answered;
    private boolean ended;

    InFlightRequest(
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
