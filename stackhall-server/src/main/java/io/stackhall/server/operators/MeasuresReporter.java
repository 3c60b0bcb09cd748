package io.stackhall.server.operators;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.placement.PlacementCounts;
import io.stackhall.rpc.generated.operators.MeasuresReply;
import io.stackhall.rpc.generated.operators.PlacementMeasures;
import io.stackhall.rpc.generated.operators.TrafficMeasures;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.node.PlacementDriver;
import io.stackhall.server.node.UpstreamExchange;
import io.stackhall.server.settings.Settings;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Tells operators what the policies have attained and cost, as this host has counted. */
final class MeasuresReporter {

    private static final long TIMEOUT_MILLIS = 5000;

    private final Settings settings;
    private final NodeMetrics metrics;
    private final Map<ZoneId, PlacementDriver> placement;
    private final UpstreamExchange upstreams;

    MeasuresReporter(
            Settings settings,
            NodeMetrics metrics,
            Map<ZoneId, PlacementDriver> placement,
            UpstreamExchange upstreams) {
        this.settings = settings;
        this.metrics = metrics;
        this.placement = placement;
        this.upstreams = upstreams;
    }

    MeasuresReply measures() {
        int accelerators =
                upstreams.announcements(settings.zone()).stream()
                        .filter(Announcement::engine)
                        .mapToInt(engine -> engine.memory().accelerators())
                        .sum();
        MeasuresReply.Builder reply =
                MeasuresReply.newBuilder()
                        .setHost(settings.host().value())
                        .setZone(settings.zone().value())
                        .setAccelerators(accelerators);
        for (PolicyName policy : PolicyName.values()) {
            long offered = metrics.offeredUnder(policy);
            if (offered > 0) {
                reply.addTraffic(
                        TrafficMeasures.newBuilder()
                                .setPolicy(policy.text())
                                .setOffered(offered)
                                .setAttained(metrics.attainedUnder(policy)));
            }
        }
        placement.forEach((zone, driver) -> add(reply, zone, driver));
        return reply.build();
    }

    private static void add(MeasuresReply.Builder reply, ZoneId zone, PlacementDriver driver) {
        PlacementDriver.Measures measures =
                driver.measures().orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
        measures.byPolicy()
                .forEach(
                        (policy, counts) ->
                                reply.addPlacement(encode(zone, policy, counts, false)));
        measures.compared()
                .ifPresent(of -> reply.addPlacement(encode(zone, of.policy(), of.counts(), true)));
    }

    private static PlacementMeasures encode(
            ZoneId zone, PolicyName policy, PlacementCounts counts, boolean shadow) {
        return PlacementMeasures.newBuilder()
                .setZone(zone.value())
                .setPolicy(policy.text())
                .setShadow(shadow)
                .setLoads(counts.loads())
                .setNeedlessLoads(counts.needlessLoads())
                .setArrivals(counts.arrivals())
                .setMisses(counts.misses())
                .build();
    }
}
