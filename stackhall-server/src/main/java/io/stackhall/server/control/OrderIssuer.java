package io.stackhall.server.control;

import io.stackhall.core.config.Finding;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.residency.EngineAnswer;
import io.stackhall.core.residency.EngineOrder;
import io.stackhall.core.residency.EngineReport;
import io.stackhall.core.residency.OrderHandover;
import io.stackhall.core.residency.ResidencyEffect;
import io.stackhall.core.residency.ResidencyManager;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.RouteTable;
import io.stackhall.platform.Calls;
import io.stackhall.platform.OrderEncoder;
import io.stackhall.platform.ReportDecoder;
import io.stackhall.rpc.generated.fleet.AdapterWanted;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.InstanceUnreachable;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.FleetSettings;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Issues orders to engines, only while this host leads the control group.
 *
 * <p>It starts only after its take-over has been committed and the pause after a predecessor has
 * passed. Each order is written only if the leader's lease holds at that moment.
 */
final class OrderIssuer {

    private static final Logger logger = LogManager.getLogger(OrderIssuer.class);

    /** An adapter arrives about 6 to 20 ms after its order is accepted, later if many load. */
    private static final long ADAPTER_ARRIVAL_MILLIS = 40;

    private static final Duration TAKE_OVER_TIMEOUT = Duration.ofSeconds(2);

    /** Orders of the predecessor may be in transit a little longer than its lease. */
    private static final Duration PAUSE_MARGIN = Duration.ofMillis(300);

    private final FleetSettings settings;
    private final ControlGroup group;
    private final FleetRegistry fleet;
    private final LimitService limits;
    private final EngineClient engines;
    private final ResidencyManager manager;
    private long routesVersion = -1;
    private boolean leading;
    private boolean takenOver;
    private final OrderHandover handover;
    private Optional<HostId> predecessor = Optional.empty();
    private long electedAt;
    private boolean issuing;
    private long fence;

    OrderIssuer(
            FleetSettings settings,
            ControlGroup group,
            FleetRegistry fleet,
            LimitService limits,
            UpstreamClient upstreams) {
        this.settings = settings;
        this.group = group;
        this.fleet = fleet;
        this.limits = limits;
        this.engines =
                new EngineClient(fleet.loop(), upstreams, this::isActive, new EngineEvents());
        this.handover =
                new OrderHandover(
                        settings.limits().fenceChecked(),
                        settings.limits().orderPause().plus(PAUSE_MARGIN));
        this.manager =
                new ResidencyManager(
                        PlacementPolicy.of(PolicyName.NEAREST_COPY),
                        settings.limits().storeWindow(),
                        settings.limits().heartbeat());
    }

    /**
     * Starts or stops issuing orders as this host gains or loses leadership. Cancels all calls in
     * flight, since orders of an earlier leadership that a network partition has delayed must not
     * reach an engine after those of the next.
     */
    void setLeading(boolean leads, ControlSnapshot previous) {
        engines.cancelAll();
        leading = leads;
        takenOver = false;
        issuing = false;
        if (leads) {
            takeOver(previous);
        }
    }

    /** Sets the evacuated zones, in which engines serve no requests. */
    void setEvacuatedZones(EvacuatedZones zones) {
        manager.setEvacuatedZones(zones);
    }

    /** Carries out the steps that are due. */
    void tick() {
        if (!isActive()) {
            return;
        }
        updateEngineSpecs();
        long now = BootClock.nanos();
        manager.updateInstances(fleet.instances(), now);
        manager.setLimitedEngines(limits.limitedUpstreams());
        execute(manager.step(now));
    }

    /** Records an entry host's counts of arrived and waiting requests. */
    void recordDemand(DemandReport report) {
        Map<ModelId, Integer> arrivals = new HashMap<>();
        Map<ModelId, Integer> waiting = new HashMap<>();
        long now = BootClock.nanos();
        for (DemandCount count : report.getCountsList()) {
            int slash = count.getModel().indexOf('/');
            String model = slash < 0 ? count.getModel() : count.getModel().substring(0, slash);
            arrivals.merge(new ModelId(model), count.getArrivals(), Integer::sum);
            waiting.merge(new ModelId(model), count.getWaiting(), Integer::sum);
            if (slash >= 0 && count.getArrivals() > 0) {
                manager.recordAdapterUse(
                        new ModelId(model), count.getModel().substring(slash + 1), now);
            }
        }
        manager.recordDemand(new HostId(report.getHost()), arrivals, waiting, now);
    }

    /** Records the work at instances that an entry host has reported. */
    void recordWork(Map<UpstreamId, InstanceWork> work) {
        manager.recordWork(work, BootClock.nanos());
    }

    /** Records that an entry host cannot connect to an instance. */
    void recordUnreachable(InstanceUnreachable report) {
        logger.info(
                "upstream.unreachable id={} by={} refused={}",
                report.getInstance(),
                report.getHost(),
                report.getRefused());
        manager.recordConnectFailure(
                UpstreamId.parse(report.getInstance()),
                new HostId(report.getHost()),
                report.getRefused());
    }

    /** Receives what calls reveal about engines. */
    private final class EngineEvents implements EngineClient.EngineListener {
        @Override
        public LimitRevision limitRevision(UpstreamId id) {
            return limits.revision(id);
        }

        @Override
        public void onLimit(UpstreamId id, double perSecond, LimitRevision basis) {
            limits.observeLocally(id, perSecond, basis);
        }

        @Override
        public void onRest(UpstreamId id, Duration time) {
            logger.info("upstream.rest-heard id={} restMs={}", id, time.toMillis());
            manager.recordRest(id, time, BootClock.nanos());
        }

        @Override
        public void onLeaving(UpstreamId id) {
            fleet.drain(id, settings.peerName());
        }

        @Override
        public void onUnreachable(UpstreamId id, boolean refused) {
            manager.recordConnectFailure(id, settings.peerName(), refused);
        }
    }

    /** Requests an adapter that requests are waiting for. */
    void requestAdapter(AdapterWanted message) {
        if (isActive()) {
            manager.requestAdapter(
                    UpstreamId.parse(message.getInstance()),
                    new ModelId(message.getModel()),
                    message.getAdapter(),
                    BootClock.nanos());
            execute(manager.step(BootClock.nanos()));
        }
    }

    private boolean isActive() {
        if (!leading || !takenOver || !group.leads()) {
            return false;
        }
        if (!issuing
                && handover.mayIssueOrders(
                        predecessorReachability(), electedAt, BootClock.nanos())) {
            issuing = true;
            logger.info("orders.begin fence={} predecessor={}", fence, predecessorReachability());
        }
        return issuing;
    }

    private OrderHandover.Predecessor predecessorReachability() {
        return predecessor
                .map(
                        host ->
                                fleet.isReachable(host)
                                        ? OrderHandover.Predecessor.REACHABLE
                                        : OrderHandover.Predecessor.UNREACHABLE)
                .orElse(OrderHandover.Predecessor.NONE);
    }

    private void takeOver(ControlSnapshot previous) {
        long term = group.view().term();
        String self = settings.peerName().value();
        boolean afterAnother =
                !previous.getHolder().isEmpty() && !previous.getHolder().equals(self);
        predecessor =
                afterAnother ? Optional.of(new HostId(previous.getHolder())) : Optional.empty();
        electedAt = BootClock.nanos();
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome =
                            group.command(
                                    ControlStateMachine.takeOverCommand(self, term),
                                    TAKE_OVER_TIMEOUT);
                    logger.info(
                            "orders.take-over term={} before={} outcome={}",
                            term,
                            previous.getHolder(),
                            outcome);
                    fleet.loop().execute(() -> completeTakeOver(outcome, term, afterAnother));
                });
    }

    private void completeTakeOver(CommandOutcome outcome, long term, boolean afterAnother) {
        if (outcome instanceof CommandOutcome.Done && leading && group.view().term() == term) {
            fence = term;
            takenOver = true;
            manager.restart(afterAnother, BootClock.nanos());
        }
    }

    private void updateEngineSpecs() {
        Optional<RouteTable> newer =
                fleet.routes().table().filter(table -> table.version() > routesVersion);
        if (newer.isEmpty()) {
            return;
        }
        routesVersion = newer.get().version();
        Map<ServiceName, EngineSpec> specs = new HashMap<>();
        newer.get()
                .services()
                .forEach(
                        service ->
                                service.engine()
                                        .ifPresent(engine -> specs.put(service.name(), engine)));
        manager.setSpecs(specs);
    }

    private void execute(List<ResidencyEffect> effects) {
        for (ResidencyEffect effect : effects) {
            switch (effect) {
                case ResidencyEffect.Send(EngineOrder order) -> send(order);
                case ResidencyEffect.ReadReport(UpstreamId id, String address) ->
                        readReport(id, address);
                case ResidencyEffect.NotifyResidency notice -> publishResidency(notice);
                case ResidencyEffect.NotifyLoading(UpstreamId id, ModelId model, Duration within) ->
                        fleet.publishResidency(
                                ResidencyChange.newBuilder()
                                        .setInstance(id.toString())
                                        .setModel(model.value())
                                        .setComingMillis(within.toMillis())
                                        .build());
            }
        }
    }

    private void publishResidency(ResidencyEffect.NotifyResidency notice) {
        ResidencyChange change =
                ResidencyChange.newBuilder()
                        .setInstance(notice.instance().toString())
                        .setModel(notice.model().value())
                        .setAdapter(notice.adapter().orElse(""))
                        .setResident(notice.resident())
                        .build();
        if (notice.resident()) {
            fleet.loop()
                    .schedule(
                            () -> fleet.publishResidency(change),
                            ADAPTER_ARRIVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            fleet.publishResidency(change);
        }
    }

    private void send(EngineOrder order) {
        byte[] body =
                OrderEncoder.encode(
                        order.load(),
                        order.model(),
                        order.adapter(),
                        settings.peerName(),
                        fence,
                        Optional.of(order.expectedTaken()));
        engines.post(
                order.instance(),
                order.address(),
                Calls.ORDER,
                body,
                (status, answer) -> handleOrderAnswer(order, status));
    }

    private void handleOrderAnswer(EngineOrder order, Optional<Integer> status) {
        EngineAnswer answer = status.map(OrderIssuer::answerOf).orElse(EngineAnswer.UNKNOWN);
        logger.info(
                "order.answered instance={} load={} model={} adapter={} expectedTaken={}"
                        + " fromStore={} fence={} status={} answer={}",
                order.instance(),
                order.load(),
                order.model(),
                order.adapter().orElse(""),
                order.expectedTaken(),
                order.fromStore(),
                fence,
                status.orElse(0),
                answer);
        if (isActive()) {
            execute(manager.onAnswer(order, answer, BootClock.nanos()));
        }
    }

    private void readReport(UpstreamId id, String address) {
        engines.get(
                id, address, Calls.REPORT, (status, answer) -> handleReport(id, status, answer));
    }

    private void handleReport(UpstreamId id, Optional<Integer> status, byte[] answer) {
        long now = BootClock.nanos();
        Either<Finding, EngineReport> report =
                status.equals(Optional.of(200))
                        ? ReportDecoder.decode(answer)
                        : Either.left(new Finding("report", "status " + status));
        if (report.isLeft()) {
            logger.info("report.unread instance={} {}", id, report.getLeft());
            manager.onReportFailed(id, now);
            return;
        }
        manager.onReport(id, report.get(), now);
        logger.info(
                "report.read instance={} ordersTaken={} busy={}",
                id,
                report.get().ordersTaken(),
                report.get().busy());
    }

    private static EngineAnswer answerOf(int status) {
        return switch (status) {
            case 202 -> EngineAnswer.TAKEN;
            case 200 -> EngineAnswer.HOLDS;
            case 409 -> EngineAnswer.CONFLICT;
            case 412 -> EngineAnswer.FENCED;
            case 421 -> EngineAnswer.OTHER_INSTANCE;
            case 400 -> EngineAnswer.REFUSED;
            default -> EngineAnswer.UNKNOWN;
        };
    }
}
