package io.stackhall.core.placement;

import io.stackhall.core.config.AdapterSpec;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.ModelSpec;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import io.stackhall.core.policy.PlacementView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Builds the view of a zone from which a placement policy decides: from announcements, the order
 * ledger, demand and the deployment.
 */
final class PlacementViewBuilder {

    /** The version of artifacts that have no version of their own. */
    static final String ADAPTER_VERSION = "1";

    private final Map<UpstreamId, Map<Artifact, Long>> residentSince = new HashMap<>();

    /** Records since when each artifact is resident. */
    void recordResidents(Announcement report, long now) {
        Map<Artifact, Long> before = residentSince.getOrDefault(report.id(), Map.of());
        Map<Artifact, Long> after = new HashMap<>();
        for (Resident resident : report.memory().resident()) {
            after.put(resident.artifact(), before.getOrDefault(resident.artifact(), now));
        }
        residentSince.put(report.id(), after);
    }

    void remove(UpstreamId upstream) {
        residentSince.remove(upstream);
    }

    long residentSince(UpstreamId upstream, Artifact artifact, long otherwise) {
        return residentSince.getOrDefault(upstream, Map.of()).getOrDefault(artifact, otherwise);
    }

    List<PlacementView.Engine> engines(
            Collection<Announcement> reports,
            OrderLedger.State orders,
            Map<UpstreamId, Optional<Artifact>> busy,
            Configuration configuration,
            long now) {
        List<PlacementView.Engine> engines = new ArrayList<>();
        for (Announcement report : reports) {
            boolean leaving = report.leaving() || configuration.draining().contains(report.id());
            if (report.engine() && !leaving) {
                engines.add(engine(report, orders, busy, now));
            }
        }
        return engines;
    }

    static List<PlacementView.DeployedArtifact> deployed(
            Deployment deployment,
            DemandTracker demand,
            ToIntFunction<ModelId> waiting,
            StarvationTracker starvation,
            Set<ModelId> resident,
            long now) {
        Map<ModelId, Integer> forBase = new HashMap<>();
        Map<ModelId, Double> rateForBase = new HashMap<>();
        List<PlacementView.DeployedArtifact> deployed = new ArrayList<>();
        for (AdapterSpec adapter : deployment.adapters()) {
            int count = waiting.applyAsInt(adapter.id());
            rateForBase.merge(adapter.base(), demand.ratePerSecond(adapter.id(), now), Double::sum);
            if (!resident.contains(adapter.base())) {
                forBase.merge(adapter.base(), count, Integer::sum);
            }
        }
        for (ModelSpec model : deployment.models()) {
            deployed.add(
                    new PlacementView.DeployedArtifact(
                            new Artifact(model.id(), model.version()),
                            model.memoryMib(),
                            Optional.empty(),
                            model.floor(),
                            demand.ratePerSecond(model.id(), now)
                                    + rateForBase.getOrDefault(model.id(), 0.0),
                            waiting.applyAsInt(model.id()) + forBase.getOrDefault(model.id(), 0),
                            starvation.seconds(model.id(), now),
                            demand.lastUsed(model.id(), Long.MIN_VALUE)));
        }
        deployment
                .adapters()
                .forEach(
                        adapter ->
                                deployed.add(
                                        deployedArtifact(
                                                deployment,
                                                adapter,
                                                demand,
                                                waiting,
                                                starvation,
                                                now)));
        return deployed;
    }

    private PlacementView.Engine engine(
            Announcement report,
            OrderLedger.State orders,
            Map<UpstreamId, Optional<Artifact>> busy,
            long now) {
        MemoryAccount account = MemoryAccount.of(report, orders);
        List<PlacementView.ResidentArtifact> held = new ArrayList<>();
        for (Resident resident : report.memory().resident()) {
            long since = residentSince(report.id(), resident.artifact(), now);
            held.add(
                    new PlacementView.ResidentArtifact(
                            resident.artifact(), resident.memoryMib(), since));
        }
        return new PlacementView.Engine(
                report.id(),
                account.freeMib(),
                report.load().slots(),
                held,
                busy.containsKey(report.id()),
                busy.getOrDefault(report.id(), Optional.empty()));
    }

    private static PlacementView.DeployedArtifact deployedArtifact(
            Deployment deployment,
            AdapterSpec adapter,
            DemandTracker demand,
            ToIntFunction<ModelId> waiting,
            StarvationTracker starvation,
            long now) {
        Optional<Artifact> base =
                deployment
                        .model(adapter.base())
                        .map(model -> new Artifact(model.id(), model.version()));
        return new PlacementView.DeployedArtifact(
                new Artifact(adapter.id(), ADAPTER_VERSION),
                adapter.memoryMib(),
                base,
                1,
                demand.ratePerSecond(adapter.id(), now),
                waiting.applyAsInt(adapter.id()),
                starvation.seconds(adapter.id(), now),
                demand.lastUsed(adapter.id(), Long.MIN_VALUE));
    }
}
