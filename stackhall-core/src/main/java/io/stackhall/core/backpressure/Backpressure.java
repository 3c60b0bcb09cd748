package io.stackhall.core.backpressure;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.limit.PermitWaits;
import io.stackhall.core.slot.BrittleUpstreams;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * Combines the ways in which upstreams slow one host down: limits, rests, brittleness and plain
 * refusals. Decides for each request whether it may be sent to an upstream now, and if not, when.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class Backpressure {

    private final LimitedUpstreams limits;
    private final RestingUpstreams rests;
    private final BrittleUpstreams slots;
    private final RefusingUpstreams refusals = new RefusingUpstreams();
    private Predicate<UpstreamId> detoured = id -> false;

    /** Reason not to send an upstream a request now. */
    public enum Hold {
        /** The request may be sent. */
        NONE,
        /**
         * May be sent, but other upstreams are preferred: this one refused its last request, or is
         * reached only by way of another host.
         */
        COMES_LAST,
        /** The upstream has a limit, or is brittle, and the host holds no permit or slot. */
        LIMIT,
        /** The upstream asked this host to send no requests for some time that has not passed. */
        REST
    }

    /** Creates the backpressure state of a host that leases no slots of brittle upstreams. */
    public Backpressure(LimitedUpstreams limits, RestingUpstreams rests) {
        this(limits, rests, new BrittleUpstreams(new HostId("none")));
    }

    /** Creates the backpressure state of a host from its limits, rests and leased slots. */
    public Backpressure(LimitedUpstreams limits, RestingUpstreams rests, BrittleUpstreams slots) {
        this.limits = limits;
        this.rests = rests;
        this.slots = slots;
    }

    /** Sets which upstreams this host reaches only by way of another host. */
    public void setDetoured(Predicate<UpstreamId> next) {
        detoured = next;
    }

    /** Returns why this host should not send an upstream a request now, if there is a reason. */
    public Hold hold(UpstreamId id, long now) {
        if (!rests.allows(id, now)) {
            return Hold.REST;
        }
        if (!limits.allows(id, now) || !slots.allows(id, now)) {
            return Hold.LIMIT;
        }
        boolean last = refusals.comesLast(id, now) || detoured.test(id);
        return last ? Hold.COMES_LAST : Hold.NONE;
    }

    /** Returns how much longer this host sends no requests to a resting upstream. */
    public Duration remainingRest(UpstreamId id, long now) {
        return rests.remaining(id, now);
    }

    /**
     * Returns the retry delay of one more caller whose request is refused for an upstream's rest.
     */
    public Duration callerRetryDelay(UpstreamId id, long now) {
        return rests.callerRetryDelay(id, now);
    }

    /** Returns whether this host sends no requests to an upstream for its rest. */
    public boolean isResting(UpstreamId id, long now) {
        return rests.isResting(id, now);
    }

    /** Records a request that waits for a permit, and returns the expected waits. */
    public PermitWaits awaitPermit(UpstreamId id, long now) {
        return slots.allows(id, now) ? limits.awaitPermit(id, now) : slots.await(id, now);
    }

    /**
     * Records that a request which others can serve as well could be sent to a limited upstream.
     */
    public void requestOptionalPermit(UpstreamId id, long now) {
        limits.requestOptionalPermit(id, now);
    }

    /** Returns whether such a request should request an optional permit. */
    public boolean optionalRequestDue(UpstreamId id, long now) {
        return limits.optionalRequestDue(id, now);
    }

    /** Starts a rest: an upstream asked this host to send no requests for some time. */
    public void startRest(UpstreamId id, Duration time, long now) {
        rests.startRest(id, time, now);
        limits.returnPermit(id, now);
    }

    /** Records that an upstream refused a request without naming a time to retry. */
    public void refused(UpstreamId id, long now) {
        refusals.refused(id, now);
    }

    /** Records that a request is sent to an upstream. */
    public void sent(UpstreamId id, long now) {
        rests.sent(id, now);
        limits.sent(id, now);
        slots.sent(id, now);
    }

    /** Records that a request has left an upstream, for whatever reason. */
    public void ended(UpstreamId id) {
        slots.ended(id);
    }

    /** Records that a request reported as sent was not written. */
    public void notWritten(UpstreamId id) {
        limits.notWritten(id);
    }

    /** Records that an upstream has begun to answer a request that was sent at a given time. */
    public void answered(UpstreamId id, long sentAt) {
        rests.answered(id, sentAt);
        refusals.answered(id);
    }

    /** Records that a request that was sent at a given time ended without an answer. */
    public void unanswered(UpstreamId id, long sentAt) {
        rests.unanswered(id, sentAt);
    }

    /** Returns the number of upstreams that rest or whose requests are being ramped up after it. */
    public int resting() {
        return rests.size();
    }

    /** Sets how many hosts share the limits. */
    public void setHostCount(int hosts) {
        limits.setHostCount(hosts);
        slots.setHostCount(hosts);
    }

    /** Removes an upstream that is gone. */
    public void forget(UpstreamId id) {
        limits.forget(id);
        slots.forget(id);
        rests.forget(id);
        refusals.forget(id);
    }
}
