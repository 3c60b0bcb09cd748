package io.stackhall.core.customer;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which share of each limit the leader may grant. It reserves an equal share for each entry host
 * that may be using one on its own, because no answer reaches it.
 *
 * <p>A host counts as reachable only by the receipt of an answer of this leadership. The receipt
 * names the time at which this leader received the question, so neither delayed nor lost frames can
 * make a host count as reachable that is not. Moments are in nanoseconds of the leader's clock.
 */
final class ReservedShares {

    /**
     * The share of a host is reserved this long after the question whose answer it last received,
     * which is before the host uses it: see {@link OutageAllowance#MIN_SILENCE}.
     */
    static final Duration TIMEOUT = Duration.ofMillis(800);

    /** A host that was not heard of for this long uses no share any more. */
    static final Duration EXPIRY = OutageAllowance.MAX_SILENCE.multipliedBy(2);

    private final long leadership;
    private final Map<HostId, Seen> hosts = new HashMap<>();
    private int followerCount;
    private int predecessorHosts;
    private long predecessorHostsAt;
    private boolean olderVersionSeen;
    private long olderVersionAt;

    /** The clock of the allowances; a fraction, as each advance adds only a share of the time. */
    private double allowanceClockNanos;

    private long advancedAt;

    /** When a host was heard of, and the latest question that is known to be answered. */
    private record Seen(long heardAt, boolean answered, long askedAt) {
        boolean reachable(long now) {
            return answered && now - askedAt < TIMEOUT.toNanos();
        }
    }

    /** Creates the shares of a new leadership, all of which are reserved. */
    ReservedShares(long leadership, long now) {
        this.leadership = leadership;
        this.advancedAt = now;
        this.allowanceClockNanos = now;
    }

    long leadership() {
        return leadership;
    }

    /** Sets the number of entry hosts that are connected to this control host. */
    void setFollowerCount(int count, long now) {
        advance(now);
        followerCount = count;
    }

    /** Records a question of a host. */
    void recordQuestion(HostId host, AnswerReceipt receipt, long now) {
        advance(now);
        boolean answered = receipt.leadership() == leadership;
        if (!answered && receipt.entryHosts() > 0) {
            predecessorHosts = Math.max(predecessorHosts(now), receipt.entryHosts());
            predecessorHostsAt = now;
        }
        Seen before = hosts.get(host);
        boolean newer =
                answered
                        && (before == null
                                || !before.answered()
                                || receipt.askedAt() - before.askedAt() > 0);
        if (newer) {
            hosts.put(host, new Seen(now, true, receipt.askedAt()));
        } else if (before == null) {
            hosts.put(host, new Seen(now, false, 0));
        } else {
            hosts.put(host, new Seen(now, before.answered(), before.askedAt()));
        }
    }

    /** Records a question of a host of an earlier version, which never uses a share. */
    void recordQuestionOfOlderVersion(long now) {
        advance(now);
        olderVersionSeen = true;
        olderVersionAt = now;
    }

    /**
     * Returns whether shares are reserved for all hosts. While there are hosts of an earlier
     * version, which do not tell their names, only shares of named hosts are reserved.
     */
    boolean reservesAll(long now) {
        return !olderVersionSeen || now - olderVersionAt > EXPIRY.toNanos();
    }

    /** Returns the number of entry hosts among which limits are divided. */
    int entryHosts(long now) {
        hosts.values().removeIf(seen -> now - seen.heardAt() > EXPIRY.toNanos());
        return reservesAll(now)
                ? Math.max(hosts.size(), Math.max(followerCount, predecessorHosts(now)))
                : hosts.size();
    }

    /** Returns the share of each limit that may be granted, between 0 and 1. */
    double share(long now) {
        int all = entryHosts(now);
        if (all == 0) {
            return reservesAll(now) ? 0 : 1;
        }
        long reachable = hosts.values().stream().filter(seen -> seen.reachable(now)).count();
        return (double) reachable / all;
    }

    /**
     * Returns a clock that runs at the share that may be granted, by which allowances are refilled.
     */
    long clock(long now) {
        advance(now);
        return (long) allowanceClockNanos;
    }

    /**
     * Until the next event hosts only become unreachable, so the share at the end is the least;
     * hosts that expire after {@link #EXPIRY} are negligible, since questions come more often.
     */
    private void advance(long now) {
        allowanceClockNanos += Math.max(0, now - advancedAt) * share(now);
        advancedAt = now;
    }

    private int predecessorHosts(long now) {
        return now - predecessorHostsAt > EXPIRY.toNanos() ? 0 : predecessorHosts;
    }
}
