package io.stackhall.core.backpressure;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.limit.PermitWaits;
import java.time.Duration;

/**
 * What upstreams ask of one host, and the question that every request puts before it is sent: may
 * it go there now, and if not, from when on.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class Backpressure {

    private final LimitedUpstreams limits;
    private final RestingUpstreams rests;
    private final RefusingUpstreams refusals = new RefusingUpstreams();

    /** What keeps a host from sending an upstream a request now. */
    public enum Hold {
        /** Nothing. */
        NONE,
        /** Nothing, but others go first: it turned the last request away. */
        COMES_LAST,
        /** It needs a permit first. */
        LIMIT,
        /** The upstream wants nothing from this host yet. */
        REST
    }

    /** Creates what holds a host back by limits and by rests. */
    public Backpressure(LimitedUpstreams limits, RestingUpstreams rests) {
        this.limits = limits;
        this.rests = rests;
    }

    /** Returns what keeps this host from sending an upstream a request now. */
    public Hold hold(UpstreamId id, long now) {
        if (!rests.allows(id, now)) {
            return Hold.REST;
        }
        if (!limits.allows(id, now)) {
            return Hold.LIMIT;
        }
        return refusals.comesLast(id, now) ? Hold.COMES_LAST : Hold.NONE;
    }

    /** Returns how much longer this host keeps away from an upstream that wants rest. */
    public Duration remainingRest(UpstreamId id, long now) {
        return rests.remaining(id, now);
    }

    /** Returns when one more caller that is turned back for an upstream's rest may come again. */
    public Duration callerRetryDelay(UpstreamId id, long now) {
        return rests.callerRetryDelay(id, now);
    }

    /** Returns whether this host keeps away from an upstream that wants rest. */
    public boolean isResting(UpstreamId id, long now) {
        return rests.isResting(id, now);
    }

    /** Notes that a request waits for a permit, and returns when it may expect one. */
    public PermitWaits awaitPermit(UpstreamId id, long now) {
        return limits.awaitPermit(id, now);
    }

    /** Notes that a request which others serve could be sent to an upstream with a limit. */
    public void requestOptionalPermit(UpstreamId id, long now) {
        limits.requestOptionalPermit(id, now);
    }

    /** Returns whether such a request should ask for a permit. */
    public boolean optionalRequestDue(UpstreamId id, long now) {
        return limits.optionalRequestDue(id, now);
    }

    /** Notes that an upstream wants nothing from this host for some time. */
    public void startRest(UpstreamId id, Duration time, long now) {
        rests.startRest(id, time, now);
        limits.returnPermit(id, now);
    }

    /** Notes that an upstream has turned a request away and does not say for how long. */
    public void refused(UpstreamId id, long now) {
        refusals.refused(id, now);
    }

    /** Notes that a request is sent to an upstream. */
    public void sent(UpstreamId id, long now) {
        rests.sent(id, now);
        limits.sent(id, now);
    }

    /** Notes that a request which counted as sent was not written. */
    public void notWritten(UpstreamId id) {
        limits.notWritten(id);
    }

    /** Notes that an upstream has begun to answer a request that was sent at some moment. */
    public void answered(UpstreamId id, long sentAt) {
        rests.answered(id, sentAt);
        refusals.answered(id);
    }

    /** Notes that a request that was sent at some moment has left an upstream without an answer. */
    public void unanswered(UpstreamId id, long sentAt) {
        rests.unanswered(id, sentAt);
    }

    /** Returns how many upstreams this host keeps away from for a rest, or is coming back to. */
    public int resting() {
        return rests.size();
    }

    /** Takes in how many hosts share the limits. */
    public void setHostCount(int hosts) {
        limits.setHostCount(hosts);
    }

    /** Forgets an upstream that is gone. */
    public void forget(UpstreamId id) {
        limits.forget(id);
        rests.forget(id);
        refusals.forget(id);
    }
}
