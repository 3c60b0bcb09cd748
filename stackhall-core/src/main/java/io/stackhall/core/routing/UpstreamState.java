package io.stackhall.core.routing;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;

/**
 * One entry host's view of an upstream: its last announcement, this host's dispatches and its
 * health.
 */
final class UpstreamState {

    private static final double LIMIT_DECREASE = 0.7;
    private static final double LIMIT_INCREASE = 0.1;
    private static final double LIMIT_HEADROOM = 1.5;
    private static final double SLOW_START_SHARE = 0.2;

    private final RoutingSettings settings;
    private Announcement report;
    private boolean draining;
    private double limit;
    private int inFlight;
    private int sentSinceReport;
    private int endedSinceReport;
    private int consecutiveFailures;
    private int ejections;
    private boolean ejected;
    private boolean probing;
    private long ejectedUntil;
    private long admittedAt;

    UpstreamState(RoutingSettings settings, Announcement report, long now) {
        this.settings = settings;
        this.report = report;
        this.limit = report.load().slots();
        this.admittedAt = now;
    }

    UpstreamId id() {
        return report.id();
    }

    Announcement report() {
        return report;
    }

    void report(Announcement next) {
        boolean restarted = next.incarnation() != report.incarnation();
        if (restarted || next.load().slots() != report.load().slots()) {
            limit = next.load().slots();
        }
        report = next;
        sentSinceReport = 0;
        endedSinceReport = 0;
    }

    void draining(boolean value) {
        draining = value;
    }

    boolean takesNewWork(long now) {
        if (draining || report.leaving()) {
            return false;
        }
        return !ejected || (now - ejectedUntil >= 0 && !probing);
    }

    /** Returns whether a request of a priority may be sent now within the upstream's limit. */
    boolean hasRoom(Priority priority, long now) {
        if (ejected) {
            return inFlight <= 0;
        }
        double allowed = limit * admittedShare(now);
        if (priority != Priority.URGENT) {
            allowed = Math.max(1, Math.floor(allowed * (1 - settings.urgentShare())));
        }
        return load() < Math.max(1, allowed);
    }

    /**
     * Returns the number of requests that run or wait there: the announced load, corrected by this
     * host's dispatches since.
     */
    int load() {
        int reported = report.load().running() + report.load().queued();
        return Math.max(inFlight, reported + sentSinceReport - endedSinceReport);
    }

    /** Returns the expected wait in units of one request's service time. */
    double relativeLoad() {
        return (load() + consecutiveFailures) / (double) report.load().slots();
    }

    void sent() {
        inFlight++;
        sentSinceReport++;
        if (ejected) {
            probing = true;
        }
    }

    void ended(AttemptResult ending, long now) {
        inFlight--;
        endedSinceReport++;
        boolean probe = ejected && probing;
        probing = false;
        switch (ending) {
            case SERVED -> served(now);
            case OVERLOADED -> {
                limit = Math.max(1, limit * LIMIT_DECREASE);
                readmitIfEjected(now);
            }
            case FAILED -> failed(probe, now);
            case WITHDRAWN -> {
                // This shows nothing about the upstream.
            }
        }
    }

    private void served(long now) {
        consecutiveFailures = 0;
        double highest = report.load().slots() * LIMIT_HEADROOM;
        limit = Math.min(highest, limit + LIMIT_INCREASE);
        readmitIfEjected(now);
    }

    /** Any answer, also one that reports overload, shows that the upstream is reachable. */
    private void readmitIfEjected(long now) {
        if (ejected) {
            ejected = false;
            ejections = 0;
            consecutiveFailures = 0;
            admittedAt = now;
        }
    }

    private void failed(boolean probeFailed, long now) {
        consecutiveFailures++;
        if (probeFailed || (!ejected && consecutiveFailures >= settings.failuresToEject())) {
            eject(now);
        }
    }

    private void eject(long now) {
        long doubled = settings.ejection().toNanos() << Math.min(ejections, 10);
        long lasts = Math.min(doubled, settings.longestEjection().toNanos());
        ejected = true;
        ejections++;
        ejectedUntil = now + lasts;
    }

    private double admittedShare(long now) {
        double passed = (double) (now - admittedAt) / settings.slowStart().toNanos();
        return Math.min(1, SLOW_START_SHARE + passed * (1 - SLOW_START_SHARE));
    }
}
