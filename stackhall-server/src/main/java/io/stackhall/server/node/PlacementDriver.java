package io.stackhall.server.node;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.placement.Order;
import io.stackhall.core.placement.OrderCommand;
import io.stackhall.core.placement.OrderLedger;
import io.stackhall.core.placement.OrderResult;
import io.stackhall.core.placement.PlacementCoordinator;
import io.stackhall.core.placement.PlacementCounts;
import io.stackhall.core.placement.PlacementEffect;
import io.stackhall.core.placement.PlacementEvent;
import io.stackhall.core.placement.PlacementSettings;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.group.ZoneCommand;
import io.stackhall.server.group.ZoneResult;
import io.stackhall.server.json.Json;
import io.stackhall.server.upstreams.OrderClient;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs the placement coordinator of one zone on one thread and executes its effects. */
public final class PlacementDriver implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(PlacementDriver.class);

    private static final long TICK_MILLIS = 50;

    private final PlacementCoordinator coordinator;
    private final OrderClient orders;
    private final ScheduledExecutorService executor;
    private volatile GroupHost group;

    /** Creates a driver for a zone. */
    public PlacementDriver(String zone, PlacementSettings settings, OrderClient orders) {
        this.coordinator = new PlacementCoordinator(settings, BootClock.nanos());
        this.orders = orders;
        this.executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> new Thread(task, "placement-" + zone));
    }

    /**
     * The counts of a zone's placement policies, as the current leader of its group counts them.
     *
     * @param active the active policy
     * @param counts loads and misses under the active policy
     * @param byPolicy loads and misses under each policy that has been active
     * @param compared estimated loads and misses of the shadow policy, if there is one
     */
    public record Measures(
            PolicyName active,
            PlacementCounts counts,
            Map<PolicyName, PlacementCounts> byPolicy,
            Optional<ComparedPolicy> compared) {}

    /** Estimated loads and misses of a policy that is only simulated beside the active one. */
    public record ComparedPolicy(PolicyName policy, PlacementCounts counts) {}

    /** Starts the periodic ticks; intents are proposed to the given group. */
    public void start(GroupHost zoneGroup) {
        group = zoneGroup;
        executor.scheduleAtFixedRate(
                () -> step(new PlacementEvent.Tick()),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Sets whether this host leads the zone's group. */
    public void setLeading(boolean leading, OrderLedger.State state) {
        submit(leading ? new PlacementEvent.Led(state) : new PlacementEvent.Deposed());
    }

    /** Submits a changed order ledger. */
    public void updateLedger(OrderLedger.State state) {
        submit(new PlacementEvent.LedgerChanged(state));
    }

    /** Submits an upstream's announcement. */
    public void receiveAnnouncement(Announcement announcement) {
        submit(new PlacementEvent.Reported(announcement));
    }

    /** Removes an upstream that has timed out. */
    public void removeUpstream(UpstreamId upstream) {
        submit(new PlacementEvent.UpstreamLost(upstream));
    }

    /** Applies the active configuration. */
    public void applyConfiguration(Configuration configuration) {
        submit(new PlacementEvent.Configured(configuration));
    }

    /** Records the arrivals since its last report and the waiting requests of an entry host. */
    public void recordDemand(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting) {
        submit(new PlacementEvent.Demanded(host, arrivals, waiting));
    }

    /** Returns the current measures, read on the driver's thread. */
    public CompletableFuture<Measures> measures() {
        return CompletableFuture.supplyAsync(this::currentMeasures, executor);
    }

    private Measures currentMeasures() {
        return new Measures(
                coordinator.activePolicy(),
                coordinator.counts(),
                coordinator.countsByPolicy(),
                coordinator
                        .comparedPolicy()
                        .map(policy -> new ComparedPolicy(policy, coordinator.comparedCounts())));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void submit(PlacementEvent event) {
        if (!executor.isShutdown()) {
            executor.execute(() -> step(event));
        }
    }

    private void step(PlacementEvent event) {
        try {
            for (PlacementEffect effect : coordinator.step(event, BootClock.nanos())) {
                switch (effect) {
                    case PlacementEffect.Propose(OrderCommand command) -> propose(command);
                    case PlacementEffect.Send(Order order, String address) -> send(order, address);
                }
            }
        } catch (RuntimeException e) {
            logger.error("placement.step-failed event={}", event.getClass().getSimpleName(), e);
        }
    }

    private void propose(OrderCommand command) {
        byte[] bytes = Json.write(ZoneCommand.class, new ZoneCommand.ChangeOrders(command));
        group.command(bytes)
                .thenAccept(
                        outcome -> {
                            if (!isApplied(outcome)) {
                                submit(new PlacementEvent.ProposalFailed(command));
                            }
                        });
    }

    private static boolean isApplied(CommandOutcome outcome) {
        return switch (outcome) {
            case CommandOutcome.Done(byte[] bytes) ->
                    Json.read(ZoneResult.class, bytes) instanceof ZoneResult.OrdersChanged changed
                            && !(changed.result() instanceof OrderResult.Busy);
            case CommandOutcome.Refused ignored -> false;
            case CommandOutcome.Unknown ignored -> false;
        };
    }

    /**
     * Sends an order, provided that the lease is still held when it goes out. A process that was
     * suspended may have lost it meanwhile.
     */
    private void send(Order order, String address) {
        logger.info(
                "placement.order number={} kind={} artifact={} upstream={}",
                order.number(),
                order.kind(),
                order.artifact(),
                order.upstream());
        orders.send(order, address, group::holdsLeaseNow).thenAccept(this::submit);
    }
}
