package io.stackhall.core.dispatch;

import io.stackhall.core.id.UpstreamId;

/** One request on its way to or at an instance. */
public final class InFlightRequest {

    private final UpstreamId instance;
    private final Need need;
    private final long uncachedTokens;
    private final boolean nothingUnread;
    private final long startedAt;
    private boolean answered;
    private boolean ended;

    InFlightRequest(UpstreamId instance, Need need, long tokens, boolean alone, long startedAt) {
        this.instance = instance;
        this.need = need;
        this.uncachedTokens = tokens;
        this.nothingUnread = alone;
        this.startedAt = startedAt;
    }

    /** Returns the instance. */
    public UpstreamId instance() {
        return instance;
    }

    /** Returns what the request needs. */
    public Need need() {
        return need;
    }

    /** Returns when it was sent, on the monotonic clock in nanoseconds. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns the prompt tokens that the instance was expected to read. */
    long uncachedTokens() {
        return uncachedTokens;
    }

    /**
     * Returns whether the instance had nothing else to read when it was sent, as far as is known.
     */
    boolean nothingUnread() {
        return nothingUnread;
    }

    /** Returns whether this is the first mark. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    /** Returns whether this is the first mark. */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
