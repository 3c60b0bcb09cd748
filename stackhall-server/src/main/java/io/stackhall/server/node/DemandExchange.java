package io.stackhall.server.node;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.settings.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports the demand for each model at this host to the members of the zone's group, and passes the
 * reports that it receives to the placement of their zone.
 */
final class DemandExchange {

    private final Settings settings;
    private final PeerTransport transport;
    private final TrafficDriver traffic;
    private final Map<ZoneId, PlacementDriver> placement;
    private final NodeMetrics metrics;

    DemandExchange(
            Settings settings,
            PeerTransport transport,
            TrafficDriver traffic,
            Map<ZoneId, PlacementDriver> placement,
            NodeMetrics metrics) {
        this.settings = settings;
        this.transport = transport;
        this.traffic = traffic;
        this.placement = placement;
        this.metrics = metrics;
    }

    /** Reports the arrivals since the last call and the waiting requests; called periodically. */
    void sendReport() {
        traffic.drainDemand().thenAccept(this::sendReport);
    }

    /** Passes an entry host's report to the placement of its zone, if this host runs it. */
    void receive(DemandReport report) {
        PlacementDriver driver = placement.get(new ZoneId(report.getZone()));
        if (driver == null) {
            return;
        }
        Map<ModelId, Integer> arrivals = new HashMap<>();
        Map<ModelId, Integer> waiting = new HashMap<>();
        for (DemandCount count : report.getCountsList()) {
            ModelId model = new ModelId(count.getModel());
            if (count.getArrivals() > 0) {
                arrivals.put(model, count.getArrivals());
            }
            waiting.put(model, count.getWaiting());
        }
        driver.recordDemand(new HostId(report.getHost()), arrivals, waiting);
    }

    private void sendReport(TrafficDriver.Demand demand) {
        metrics.state("requests_waiting", "", demand.waiting());
        metrics.state("requests_running", "", demand.running());
        DemandReport report = report(demand);
        Frame frame = Frame.newBuilder().setDemand(report).build();
        settings.groups()
                .zones()
                .get(settings.zone())
                .forEach(member -> transport.send(member, frame));
        receive(report);
    }

    private DemandReport report(TrafficDriver.Demand demand) {
        DemandReport.Builder report =
                DemandReport.newBuilder()
                        .setHost(settings.host().value())
                        .setZone(settings.zone().value());
        Map<ModelId, Integer> models = new HashMap<>(demand.waitingByModel());
        demand.arrivals().keySet().forEach(model -> models.putIfAbsent(model, 0));
        models.forEach(
                (model, waiting) ->
                        report.addCounts(
                                DemandCount.newBuilder()
                                        .setModel(model.value())
                                        .setArrivals(demand.arrivals().getOrDefault(model, 0))
                                        .setWaiting(waiting)));
        return report.build();
    }
}
