package io.stackhall.core.path;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Tracks which upstreams one host reaches on its own connections, and tells a host that is cut off
 * from upstreams that are down.
 *
 * <p>Answers the load of a host whose links to all upstreams fail while its callers still reach it:
 * each request would otherwise try every upstream in turn, until its caller is refused.
 *
 * <p>The path to an upstream is broken from a failure of a connection until an answer comes on one
 * that was opened later. The host is cut off if the paths to several upstreams break and either
 * nothing has been heard from any upstream in between and for some time before, or no new
 * connection to any upstream has been answered in between: older ones may live on while new ones
 * are refused. A single upstream that crashes, or falls silent, says nothing about the others.
 *
 * <p>An upstream that owes an answer and from which nothing comes is checked: it may be slow, or
 * only this host may not hear it any more, whatever comes from others.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class UpstreamPaths {

    /** The number of upstreams whose paths must break for the host to count as cut off. */
    private static final int MIN_BROKEN = 2;

    /**
     * Time without a byte from any upstream that a cut takes at least. Connections to several
     * upstreams may fail at the same moment, while others answer all the time.
     */
    private static final long QUIET_NANOS = Duration.ofMillis(200).toNanos();

    /**
     * The number of upstreams to which new connections must fail, with none answered in between,
     * while others are heard on older connections. Upstreams that are down together are fewer, as
     * those that have not failed are probed meanwhile.
     */
    private static final int MIN_BROKEN_WHILE_HEARD = 4;

    /** The number of broken paths from which on other hosts do better to use another helper. */
    private static final int IMPAIRED_BROKEN = 2;

    /** A host counts as impaired for this long after it was, so that it does not go to and fro. */
    private static final long IMPAIRED_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Time without a byte from an upstream that owes an answer, after which it is checked. A sound
     * upstream may be silent for a second or so.
     */
    public static final long SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Interval of probes while the host is cut off, so that its end is noticed soon. */
    private static final long CUT_OFF_PROBE_NANOS = Duration.ofMillis(250).toNanos();

    /** Interval of the probes of a single broken path. */
    private static final long BROKEN_PROBE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(3);

    /** The longest retry delay is by this share of the expected one longer than the shortest. */
    private static final double RETRY_SPREAD = 0.5;

    /** In the order in which they are probed while the host is cut off. */
    private final Set<UpstreamId> known = new LinkedHashSet<>();

    private final Map<UpstreamId, BrokenPath> broken = new LinkedHashMap<>();
    private final OwedAnswers owed = new OwedAnswers();

    /** Upstreams that broke connections off, and when they were last checked for it. */
    private final Map<UpstreamId, Long> interrupted = new HashMap<>();

    private final Set<UpstreamId> toCheck = new LinkedHashSet<>();
    private final Set<UpstreamId> brokenSinceHeard = new HashSet<>();

    /** Upstreams whose paths have broken since a new connection to any upstream was answered. */
    private final Set<UpstreamId> unconnected = new HashSet<>();

    private long unconnectedSince;
    private boolean cutOff;
    private long cutOffAt;
    private long heardAt;
    private long probedAt;

    /** When upstreams that have not failed were last probed, to tell a cut from those that have. */
    private long testedAt;

    private Optional<Long> impairedUntil = Optional.empty();

    /** A path since its failure. */
    private static final class BrokenPath {
        private long failedAt;
        private long probedAt;
        private boolean mute;

        private BrokenPath(long now) {
            failedAt = now;
            probedAt = now;
        }
    }

    /** What an event changes. */
    public enum Change {
        NONE,
        /** The host is cut off from now on. */
        CUT_OFF,
        /** The host is not cut off any more. */
        REACHES_AGAIN
    }

    /** Adds an upstream that the host may send requests to. */
    public void add(UpstreamId id) {
        known.add(id);
    }

    /** Removes an upstream that is gone. */
    public void forget(UpstreamId id) {
        known.remove(id);
        broken.remove(id);
        owed.forget(id);
        brokenSinceHeard.remove(id);
        unconnected.remove(id);
        interrupted.remove(id);
        toCheck.remove(id);
    }

    /** Records that a request is sent to an upstream on this host's own connection. */
    public void sent(UpstreamId id, long now) {
        owed.sent(id, now);
    }

    /** Records that such a request has ended, however that was. */
    public void ended(UpstreamId id) {
        owed.ended(id);
    }

    /**
     * Records bytes that have come from an upstream on this host's own connection.
     *
     * @param openedAt when that connection was opened: an answer on one that was opened before a
     *     failure says nothing about new ones
     */
    public Change heard(UpstreamId id, long openedAt, long now) {
        heardAt = now;
        brokenSinceHeard.clear();
        owed.heard(id, now);
        BrokenPath path = broken.get(id);
        if (path != null && openedAt - path.failedAt > 0) {
            broken.remove(id);
        }
        if (openedAt - unconnectedSince > 0) {
            unconnected.clear();
        }
        if (!cutOff || openedAt - cutOffAt <= 0) {
            return Change.NONE;
        }
        cutOff = false;
        return Change.REACHES_AGAIN;
    }

    /** Records that no connection to an upstream came up, or that a probe was not answered. */
    public Change failed(UpstreamId id, long now) {
        if (!known.contains(id)) {
            return Change.NONE;
        }
        BrokenPath path = broken.get(id);
        if (path == null) {
            broken.put(id, new BrokenPath(now));
            recordNewlyBroken(id, now);
        } else {
            path.failedAt = now;
        }
        Change change = recordEvidence(id, now);
        if (cutOff || broken.size() >= IMPAIRED_BROKEN) {
            impairedUntil = Optional.of(now + IMPAIRED_NANOS);
        }
        return change;
    }

    /** Records that connections to an upstream come up and carry nothing, though others' do. */
    public Change mute(UpstreamId id, long now) {
        Change change = failed(id, now);
        BrokenPath path = broken.get(id);
        if (path != null) {
            path.mute = true;
        }
        return change;
    }

    /** Returns whether new connections to an upstream come up and carry nothing. */
    public boolean isMute(UpstreamId id) {
        BrokenPath path = broken.get(id);
        return path != null && path.mute;
    }

    /** An upstream that stays down is no further evidence of a cut. */
    private void recordNewlyBroken(UpstreamId id, long now) {
        if (unconnected.isEmpty()) {
            unconnectedSince = now;
        }
        unconnected.add(id);
    }

    /**
     * Records that a connection to an upstream has ended before a byte of the answer had come. An
     * upstream that is full or fails does so as well, so that it is checked first.
     */
    public Change interrupted(UpstreamId id, long now) {
        if (!known.contains(id)) {
            return Change.NONE;
        }
        Long checkedAt = interrupted.get(id);
        if (checkedAt == null || now - checkedAt >= SILENCE_NANOS) {
            interrupted.put(id, now);
            toCheck.add(id);
        }
        return recordEvidence(id, now);
    }

    private Change recordEvidence(UpstreamId id, long now) {
        brokenSinceHeard.add(id);
        if (cutOff || !(isCutOffInSilence(now) || isCutOffFromNewConnections())) {
            return Change.NONE;
        }
        cutOff = true;
        cutOffAt = now;
        beginTurns(now);
        return Change.CUT_OFF;
    }

    /**
     * Records that an upstream which owes an answer did not answer a check either, neither on a new
     * connection of this host nor through another one.
     */
    public Change silenceUnconfirmed(UpstreamId id, long now) {
        return owed.isSilenceAFailure(id, now - heardAt) ? failed(id, now) : Change.NONE;
    }

    private boolean isCutOffInSilence(long now) {
        return isQuiet(now) && brokenSinceHeard.size() >= MIN_BROKEN;
    }

    private boolean isCutOffFromNewConnections() {
        boolean allBroken = known.size() >= MIN_BROKEN && broken.size() == known.size();
        return unconnected.size() >= MIN_BROKEN_WHILE_HEARD || allBroken;
    }

    /** Returns whether nothing has come from any upstream for longer than between answers. */
    public boolean isQuiet(long now) {
        return now - heardAt >= QUIET_NANOS;
    }

    /** Begins the turns of probes with the upstreams that have not failed, if any, at once. */
    private void beginTurns(long now) {
        Set<UpstreamId> failed = new LinkedHashSet<>(brokenSinceHeard);
        failed.addAll(broken.keySet());
        known.removeAll(failed);
        probedAt = known.isEmpty() ? now : now - CUT_OFF_PROBE_NANOS;
        known.addAll(failed);
    }

    /**
     * Returns whether requests for an upstream should take another path than a connection to it.
     */
    public boolean isBroken(UpstreamId id) {
        return cutOff || broken.containsKey(id);
    }

    /** Returns whether this host reaches no upstream. */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns whether this host reaches some upstreams only through others, so that it is of less
     * help to other hosts.
     */
    public boolean isImpaired(long now) {
        return cutOff || impairedUntil.filter(until -> now - until < 0).isPresent();
    }

    /** Returns for how long this host has reached no upstream, zero if it reaches any. */
    public Duration cutOffFor(long now) {
        return cutOff ? Duration.ofNanos(now - cutOffAt) : Duration.ZERO;
    }

    /**
     * Returns when a caller should come back that this host cannot serve. A cut that has lasted for
     * some time is expected to last as long again; callers are spread, so that they do not return
     * all at once.
     */
    public Duration retryDelay(RandomGenerator random, long now) {
        long expected =
                Math.clamp(
                        cutOffFor(now).toNanos(),
                        MIN_RETRY_DELAY.toNanos(),
                        MAX_RETRY_DELAY.toNanos());
        double spread = 1 + RETRY_SPREAD * (random.nextDouble() - 0.5);
        return Duration.ofNanos(Math.round(expected * spread));
    }

    /** Returns the number of broken paths, of all upstreams if the host is cut off. */
    public int brokenCount() {
        return cutOff ? known.size() : broken.size();
    }

    /**
     * Returns the upstreams to probe now. While the host is cut off that is one after the other,
     * since an answer ends it, first, and at once, those that have not failed: a host that takes
     * several upstreams that are down for a cut is to notice soon. So are some that have not failed
     * while no new connection is answered.
     */
    public Set<UpstreamId> dueProbes(long now) {
        Set<UpstreamId> due = new LinkedHashSet<>();
        if (cutOff) {
            if (now - probedAt >= CUT_OFF_PROBE_NANOS) {
                probedAt = now;
                nextInTurn().ifPresent(due::add);
            }
            return due;
        }
        broken.forEach(
                (id, path) -> {
                    if (now - path.probedAt >= BROKEN_PROBE_NANOS) {
                        path.probedAt = now;
                        due.add(id);
                    }
                });
        if (unconnected.size() >= MIN_BROKEN && now - testedAt >= BROKEN_PROBE_NANOS) {
            testedAt = now;
            due.addAll(nextUnbroken());
        }
        return due;
    }

    /**
     * Returns the upstreams that owe answers in silence and are to be checked now, on a new
     * connection and through other hosts at the same time.
     */
    public Set<UpstreamId> dueSilenceChecks(long now) {
        return owed.dueChecks(this::isBroken, now);
    }

    /**
     * Returns the upstreams that broke connections off and are to be checked now, on a new
     * connection, and through other hosts if that fails: they may only be full.
     */
    public Set<UpstreamId> dueBreakOffChecks() {
        Set<UpstreamId> due = new LinkedHashSet<>(toCheck);
        toCheck.clear();
        return due;
    }

    private List<UpstreamId> nextUnbroken() {
        List<UpstreamId> next =
                known.stream().filter(id -> !broken.containsKey(id)).limit(MIN_BROKEN).toList();
        known.removeAll(next);
        known.addAll(next);
        return next;
    }

    /**
     * Returns the upstream that was probed the longest time ago. All take their turns: those whose
     * paths have failed may really be down while the others answer.
     */
    private Optional<UpstreamId> nextInTurn() {
        Optional<UpstreamId> next = known.stream().findFirst();
        next.ifPresent(
                id -> {
                    known.remove(id);
                    known.add(id);
                });
        return next;
    }
}
