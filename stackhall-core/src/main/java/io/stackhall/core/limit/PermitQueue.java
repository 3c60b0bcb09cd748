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
    private static final long WANT_HOLDS_NANOS = Duration.ofSeconds(1).toNanos();

    /** Permits may be granted together for this time: so far apart are the looks of the keeper. */
    private static final double TOGETHER_SECONDS = 0.1;

    /** Nobody is told a longer time: by then the limit may have changed. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    private static final double NANOS_PER_SECOND = 1e9;

    private final UpstreamId upstream;
    private final List<HostId> places = new ArrayList<>();
    private final Map<HostId, Asked> asked = new HashMap<>();
    private double perSecond;
    private double level;
    private long countedAt;

    /** When a host asked last, on its clock, and when that was heard, on the keeper's. */
    private record Asked(long askedAt, long heardAt) {}

    /**
     * Creates a queue that has to earn its first permit: what was sent just before is not known.
     */
    PermitQueue(UpstreamId upstream, long now) {
        this.upstream = upstream;
        this.countedAt = now;
    }

    /** Takes over how many permits may be granted in a second from now on. */
    void rate(double next, long now) {
        count(now);
        perSecond = next;
        level = Math.min(level, burst());
    }

    private double burst() {
        return 1 + Math.max(1, perSecond * TOGETHER_SECONDS);
    }

    /** Takes in requests that were sent without a permit; negative for permits that come back. */
    void spent(double permits, long now) {
        count(now);
        level = Math.min(burst(), level - permits);
    }

    /** Takes in what a host wants, and returns all answers that are due. */
    List<PermitAnswer> wanted(PermitWant want, long now) {
        asked.put(want.host(), new Asked(want.askedAt(), now));
        keepPlaces(want.host(), want.alone());
        List<PermitAnswer> answers = new ArrayList<>(grant(now));
        boolean granted = answers.stream().anyMatch(one -> one.host().equals(want.host()));
        if (want.alone() > 0 && !granted) {
            answers.add(answer(want.host(), want.askedAt(), false));
        } else if (want.spare()) {
            boolean spare = places.isEmpty() && level >= burst();
            level -= spare ? 1 : 0;
            answers.add(answer(want.host(), want.askedAt(), spare));
        }
        return answers;
    }

    private void keepPlaces(HostId host, int wanted) {
        int kept = 0;
        Iterator<HostId> each = places.iterator();
        while (each.hasNext()) {
            if (each.next().equals(host) && ++kept > wanted) {
                each.remove();
            }
        }
        for (int place = kept; place < wanted; place++) {
            places.add(host);
        }
    }

    /** Grants what there is room for, to those that have waited longest. */
    List<PermitAnswer> grant(long now) {
        count(now);
        asked.values().removeIf(one -> now - one.heardAt() > WANT_HOLDS_NANOS);
        places.removeIf(host -> !asked.containsKey(host));
        List<PermitAnswer> answers = new ArrayList<>();
        while (level >= 1 && !places.isEmpty()) {
            HostId host = places.removeFirst();
            level -= 1;
            answers.add(answer(host, asked.get(host).askedAt(), true));
        }
        return answers;
    }

    private PermitAnswer answer(HostId host, long askedAt, boolean granted) {
        List<Duration> taken = new ArrayList<>();
        int ahead = 0;
        for (HostId other : places) {
            ahead++;
            if (other.equals(host)) {
                taken.add(after(ahead - level));
            }
        }
        PermitWaits waits = new PermitWaits(taken, after(ahead + 1 - level), after(1));
        return new PermitAnswer(host, upstream, askedAt, granted, waits);
    }

    private Duration after(double permits) {
        if (perSecond <= 0) {
            return LONGEST_WAIT;
        }
        double seconds = Math.max(0, permits) / perSecond;
        Duration time = Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
        return time.compareTo(LONGEST_WAIT) < 0 ? time : LONGEST_WAIT;
    }

    private void count(long now) {
        level = Math.min(burst(), level + perSecond * (now - countedAt) / NANOS_PER_SECOND);
        countedAt = now;
    }
}
