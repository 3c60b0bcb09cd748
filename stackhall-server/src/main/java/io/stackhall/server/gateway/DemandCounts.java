package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts requests by model and adapter: arrivals since the last report, and requests that wait now.
 * Ignores requests without a model.
 */
final class DemandCounts {

    private final Map<String, Count> counts = new TreeMap<>();
    private Runnable newlyWaitingListener = () -> {};
    private boolean newlyWaiting;

    private static final class Count {
        private int arrivals;
        private int waiting;
    }

    void recordArrival(Need need) {
        if (need.model().isPresent()) {
            count(need).arrivals++;
        }
    }

    void recordWaitStart(Need need) {
        if (need.model().isPresent()) {
            count(need).waiting++;
            newlyWaiting = true;
        }
    }

    void recordWaitEnd(Need need) {
        if (need.model().isPresent()) {
            Count count = count(need);
            count.waiting = Math.max(0, count.waiting - 1);
        }
    }

    /** Sets the listener to call when requests for a model have begun to wait. */
    void onNewlyWaiting(Runnable listener) {
        newlyWaitingListener = listener;
    }

    /** Calls the listener if a request has begun to wait since the last report. */
    void notifyNewlyWaiting() {
        if (newlyWaiting) {
            newlyWaitingListener.run();
        }
    }

    /** Returns a report and resets the arrivals; waiting requests are included in every report. */
    DemandReport takeReport(String host, String zone) {
        newlyWaiting = false;
        DemandReport.Builder report = DemandReport.newBuilder().setHost(host).setZone(zone);
        counts.forEach(
                (name, count) ->
                        report.addCounts(
                                DemandCount.newBuilder()
                                        .setModel(name)
                                        .setArrivals(count.arrivals)
                                        .setWaiting(count.waiting)));
        counts.values().forEach(count -> count.arrivals = 0);
        counts.values().removeIf(count -> count.waiting == 0);
        return report.build();
    }

    private Count count(Need need) {
        String model = need.model().orElseThrow().value();
        String name = need.adapter().map(adapter -> model + "/" + adapter).orElse(model);
        return counts.computeIfAbsent(name, key -> new Count());
    }
}
