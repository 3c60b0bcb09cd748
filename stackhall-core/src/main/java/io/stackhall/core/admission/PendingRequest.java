package io.stackhall.core.admission;

import io.stackhall.core.id.UpstreamId;
import java.util.ArrayList;
import java.util.List;

/** A request that waits or runs, with the results of its attempts. */
final class PendingRequest {

    private final Arrival arrival;
    private final List<UpstreamId> failedOn = new ArrayList<>(0);
    private UpstreamId runningOn;
    private long sentAt;
    private int attempts;
    private boolean mayHaveRun;

    PendingRequest(Arrival arrival) {
        this.arrival = arrival;
    }

    Arrival arrival() {
        return arrival;
    }

    List<UpstreamId> failedOn() {
        return failedOn;
    }

    int attempts() {
        return attempts;
    }

    boolean running() {
        return runningOn != null;
    }

    long sentAt() {
        return sentAt;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void sent(UpstreamId upstream, long now) {
        runningOn = upstream;
        sentAt = now;
        attempts++;
    }

    /** Records the end of an attempt and returns its upstream. */
    UpstreamId ended(boolean provedNotRun) {
        UpstreamId upstream = runningOn;
        runningOn = null;
        failedOn.add(upstream);
        mayHaveRun |= !provedNotRun;
        return upstream;
    }
}
