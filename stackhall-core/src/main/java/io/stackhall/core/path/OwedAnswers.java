package io.stackhall.core.path;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The upstreams that owe answers to requests of one host, and for how long each has been silent.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
final class OwedAnswers {

    /** Interval of checks for the sake of requests that are under way on a broken path. */
    private static final long BROKEN_CHECK_NANOS = Duration.ofSeconds(3).toNanos();

    /** Upstreams that are checked at a time: together they tell a cut from slow answers. */
    private static final int MAX_CHECKS = 4;

    /**
     * Checks in which no host has got an answer, after which silence counts as a failure if nothing
     * comes from any upstream: a stall of them all has ended by then.
     */
    private static final int MAX_UNCONFIRMED_CHECKS = 2;

    /**
     * How long a check counts after the last request has ended. Callers' deadlines may be as short
     * as two checks take, so that each check sees other requests.
     */
    private static final long CHECK_VALID_NANOS = 2 * UpstreamPaths.SILENCE_NANOS;

    private final Map<UpstreamId, Owed> upstreams = new HashMap<>();

    /** Requests that an upstream owes answers, and since when nothing has come from it. */
    private static final class Owed {
        private int count;
        private long silentSince;
        private long checkedAt;
        private boolean checked;
        private int unconfirmedChecks;

        private Owed(long now) {
            silentSince = now;
            checkedAt = now;
        }

        /** Returns whether nothing is owed any more, and what was checked is long past. */
        private boolean isOutdated(long now) {
            return count == 0 && now - checkedAt > CHECK_VALID_NANOS;
        }

        private boolean isCheckDue(boolean broken, long now) {
            long interval = broken ? BROKEN_CHECK_NANOS : UpstreamPaths.SILENCE_NANOS;
            return count > 0
                    && now - silentSince >= UpstreamPaths.SILENCE_NANOS
                    && now - checkedAt >= interval;
        }
    }

    void forget(UpstreamId id) {
        upstreams.remove(id);
    }

    void sent(UpstreamId id, long now) {
        Owed owed = upstreams.get(id);
        if (owed == null || owed.isOutdated(now)) {
            owed = new Owed(now);
            upstreams.put(id, owed);
        }
        owed.count++;
    }

    void ended(UpstreamId id) {
        Owed owed = upstreams.get(id);
        if (owed == null) {
            return;
        }
        owed.count = Math.max(0, owed.count - 1);
        if (owed.count == 0 && !owed.checked) {
            upstreams.remove(id);
        }
    }

    void heard(UpstreamId id, long now) {
        Owed owed = upstreams.get(id);
        if (owed == null) {
            return;
        }
        owed.silentSince = now;
        owed.checked = false;
        owed.unconfirmedChecks = 0;
        if (owed.count == 0) {
            upstreams.remove(id);
        }
    }

    /** Returns the silent upstreams to check now. */
    Set<UpstreamId> dueChecks(Predicate<UpstreamId> isBroken, long now) {
        Set<UpstreamId> due = new LinkedHashSet<>();
        upstreams.forEach(
                (id, owed) -> {
                    if (due.size() < MAX_CHECKS && owed.isCheckDue(isBroken.test(id), now)) {
                        owed.checkedAt = now;
                        owed.checked = true;
                        due.add(id);
                    }
                });
        return due;
    }

    /**
     * Returns whether the silence of an upstream that no host got an answer from counts as a
     * failure.
     *
     * @param nothingHeardNanos for how long nothing has come from any upstream
     */
    boolean isSilenceAFailure(UpstreamId id, long nothingHeardNanos) {
        Owed owed = upstreams.get(id);
        if (owed == null) {
            return false;
        }
        owed.unconfirmedChecks++;
        return owed.unconfirmedChecks >= MAX_UNCONFIRMED_CHECKS
                && nothingHeardNanos >= MAX_UNCONFIRMED_CHECKS * UpstreamPaths.SILENCE_NANOS;
    }
}
