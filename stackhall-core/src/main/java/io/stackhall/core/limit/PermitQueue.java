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
 * The permits of one upstream, and the requests of all hosts that wait for one, in the order in
 * which they came: whoever is told a time keeps its place.
 *
 * <p>In any time it grants no more than the limit allows in that time, and {@link #burst} beside.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class PermitQueue {

    /** A host that still waits asks again several times in this time. */
    private static final long REQUEST_EXPIRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Permits may be granted together for this time: so far apart are the looks of the keeper. */
    private static final double BURST_SECONDS = 0.1;

    /** Nobody is told a longer time: by then the limit may have changed. */
    private static final Duration MAX_REPORTED_WAIT = Duration.ofSeconds(30);

    private static final double NANOS_PER_SECOND = 1e9;

    private final UpstreamId upstream;
    private final List<HostId> queue = new ArrayList<>();
    private final Map<HostId, LastRequest> lastRequests = new HashMap<>();
    private double perSecond;
    private double tokens;
    private long refilledAt;

    /** When a host asked last, on its clock, and when that was heard, on the keeper's. */
    private record LastRequest(long requestedAt, long receivedAt) {}

    /**
     * Creates a queue that has to earn its first permit: what was sent just before is not known.
     */
    PermitQueue(UpstreamId upstream, long now) {
        this.upstream = upstream;
        this.refilledAt = now;
    }

    /** Takes over how many permits may be granted in a second from now on. */
    void setRate(double next, long now) {
        refill(now);
        perSecond = next;
        tokens = Math.min(tokens, burst());
    }

    private double burst() {
        return 1 + Math.max(1, perSecond * BURST_SECONDS);
    }

    /** Takes in requests that were sent without a permit; negative for permits that come back. */
    void consume(double permits, long now) {
        refill(now);
        tokens = Math.min(burst(), tokens - permits);
    }

    /** Takes in what a host wants, and returns all answers that are due. */
    List<PermitAnswer> request(PermitRequest want, long now) {
        lastRequests.put(want.host(), new LastRequest(want.requestedAt(), now));
        resizeEntries(want.host(), want.exclusive());
        List<PermitAnswer> answers = new ArrayList<>(grant(now));
        boolean granted = answers.stream().anyMatch(one -> one.host().equals(want.host()));
        if (want.exclusive() > 0 && !granted) {
            answers.add(answer(want.host(), want.requestedAt(), false));
        } else if (want.optional()) {
            boolean spare = queue.isEmpty() && tokens >= burst();
            tokens -= spare ? 1 : 0;
            answers.add(answer(want.host(), want.requestedAt(), spare));
        }
        return answers;
    }

    private void resizeEntries(HostId host, int wanted) {
        int kept = 0;
        Iterator<HostId> each = queue.iterator();
        while (each.hasNext()) {
            if (each.next().equals(host) && ++kept > wanted) {
                each.remove();
            }
        }
        for (int place = kept; place < wanted; place++) {
            queue.add(host);
        }
    }

    /** Grants what there is room for, to those that have waited longest. */
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

    private PermitAnswer answer(HostId host, long askedAt, boolean granted) {
        List<Duration> taken = new ArrayList<>();
        int ahead = 0;
        for (HostId other : queue) {
            ahead++;
            if (other.equals(host)) {
                taken.add(timeUntil(ahead - tokens));
            }
        }
        PermitWaits waits = new PermitWaits(taken, timeUntil(ahead + 1 - tokens), timeUntil(1));
        return new PermitAnswer(host, upstream, askedAt, granted, waits);
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
