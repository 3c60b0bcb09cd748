package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts, by model and adapter, the requests that have come since the last report and that wait.
 */
final class DemandCounts {

    private final Map<String, Count> counts = new TreeMap<>();
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

    /** Returns whether a request waits that the last report did not tell of. */
    boolean hasNewlyWaiting() {
        return newlyWaiting;
    }

    /** Takes the counts since the last report; waiting requests are counted in each. */
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
