package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Token bucket for the permits of one upstream, with a FIFO queue of the requests of all hosts that
 * wait for one. A request that was given an expected wait keeps its position.
 *
 * <p>In any interval it grants no more permits than the limit allows, plus {@link #burst}.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class PermitQueue {

    /**
     * Requests of a host that has not repeated them for this long are dropped; it repeats every 300
     * ms.
     */
    private static final long REQUEST_EXPIRY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Permits may accumulate for this long, since queues are only checked at intervals of up to
     * that length.
     */
    private static final double BURST_SECONDS = 0.1;

    /** Longest wait that is reported to a host: by then the limit may have changed. */
    private static final Duration MAX_REPORTED_WAIT = Duration.ofSeconds(30);

    private static final double NANOS_PER_SECOND = 1e9;

    private final UpstreamId upstream;
    private final List<HostId> queue = new ArrayList<>();
    private final Map<HostId, LastRequest> lastRequests = new HashMap<>();
    private double perSecond;
    private double tokens;
    private long refilledAt;

    /**
     * The last permit request of a host.
     *
     * @param requestedAt when it was sent, on the host's clock
     * @param receivedAt when it was received, on the clock of this process
     */
    private record LastRequest(long requestedAt, long receivedAt) {}

    /** Creates a queue without tokens: what hosts sent just before is not known. */
    PermitQueue(UpstreamId upstream, long now) {
        this.upstream = upstream;
        this.refilledAt = now;
    }

    /** Sets how many permits per second may be granted from now on. */
    void setRate(double rate, long now) {
        refill(now);
        perSecond = rate;
        tokens = Math.min(tokens, burst());
    }

    private double burst() {
        return 1 + Math.max(1, perSecond * BURST_SECONDS);
    }

    /** Deducts requests that were sent without a permit; negative for returned permits. */
    void consume(double permits, long now) {
        refill(now);
        tokens = Math.min(burst(), tokens - permits);
    }

    /** Handles a permit request of a host and returns all answers that are due. */
    List<PermitAnswer> request(PermitRequest request, long now) {
        lastRequests.put(request.host(), new LastRequest(request.requestedAt(), now));
        resizeEntries(request.host(), request.exclusive());
        List<PermitAnswer> answers = new ArrayList<>(grant(now));
        boolean grantedToHost = answers.stream().anyMatch(one -> one.host().equals(request.host()));
        if (request.exclusive() > 0 && !grantedToHost) {
            answers.add(answer(request.host(), request.requestedAt(), false));
        } else if (request.optional()) {
            boolean grantOptional = queue.isEmpty() && tokens >= burst();
            tokens -= grantOptional ? 1 : 0;
            answers.add(answer(request.host(), request.requestedAt(), grantOptional));
        }
        return answers;
    }

    private void resizeEntries(HostId host, int count) {
        int kept = 0;
        Iterator<HostId> each = queue.iterator();
        while (each.hasNext()) {
            if (each.next().equals(host) && ++kept > count) {
                each.remove();
            }
        }
        for (int entry = kept; entry < count; entry++) {
            queue.add(host);
        }
    }

    /** Grants the available tokens to the requests that have waited longest. */
    List<PermitAnswer> grant(long now) {
        refill(now);
        lastRequests.values().removeIf(one -> now - one.receivedAt() > REQUEST_EXPIRY_NANOS);
        queue.removeIf(host -> !lastRequests.containsKey(host));
        List<PermitAnswer> answers = new ArrayList<>();
        while (tokens >= 1 && !queue.isEmpty()) {
            HostId host = queue.removeFirst();
            tokens -= 1;
            answers.add(answer(host, lastRequests.get(host).requestedAt(), true));
        }
        return answers;
    }

    private PermitAnswer answer(HostId host, long requestedAt, boolean granted) {
        List<Duration> queued = new ArrayList<>();
        int ahead = 0;
        for (HostId other : queue) {
            ahead++;
            if (other.equals(host)) {
                queued.add(timeUntil(ahead - tokens));
            }
        }
        PermitWaits waits = new PermitWaits(queued, timeUntil(ahead + 1 - tokens), timeUntil(1));
        return new PermitAnswer(host, upstream, requestedAt, granted, waits);
    }

    private Duration timeUntil(double permits) {
        if (perSecond <= 0) {
            return MAX_REPORTED_WAIT;
        }
        double seconds = Math.max(0, permits) / perSecond;
        Duration time = Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
        return time.compareTo(MAX_REPORTED_WAIT) < 0 ? time : MAX_REPORTED_WAIT;
    }

    private void refill(long now) {
        tokens = Math.min(burst(), tokens + perSecond * (now - refilledAt) / NANOS_PER_SECOND);
        refilledAt = now;
    }
}
