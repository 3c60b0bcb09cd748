package io.stackhall.server.control;

import io.stackhall.core.config.Finding;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
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
 * Gives orders to engines while this host leads the control group, and no longer.
 *
 * <p>It begins only after its taking over is committed and the pause after a predecessor is over;
 * each order is written only while the leader's lease holds at that very moment.
 */
final class OrderGiver {

    private static final Logger logger = LogManager.getLogger(OrderGiver.class);

    /** An adapter arrives some 6 to 20 ms after its order is taken, later while many come. */
    private static final long ADAPTER_ARRIVAL_MILLIS = 40;

    private static final Duration TAKE_OVER_TIMEOUT = Duration.ofSeconds(2);

    /** Orders of the predecessor may be on their way a little longer than its lease. */
    private static final Duration PAUSE_MARGIN = Duration.ofMillis(300);

    private final FleetSettings settings;
    private final ControlGroup group;
    private final FleetKeeper fleet;
    private final LimitDesk limits;
    private final EngineCalls calls;
    private final ResidencyManager keeper;
    private long routesVersion = -1;
    private boolean leading;
    private boolean taken;
    private final OrderHandover handover;
    private Optional<HostId> predecessor = Optional.empty();
    private long electedAt;
    private boolean begun;
    private long fence;

    OrderGiver(
            FleetSettings settings,
            ControlGroup group,
            FleetKeeper fleet,
            LimitDesk limits,
            UpstreamClient upstreams) {
        this.settings = settings;
        this.group = group;
        this.fleet = fleet;
        this.limits = limits;
        this.calls = new EngineCalls(fleet.loop(), upstreams, this::active, new Calling());
        this.handover =
                new OrderHandover(
                        settings.limits().fenceChecked(),
                        settings.limits().orderPause().plus(PAUSE_MARGIN));
        this.keeper =
                new ResidencyManager(
                        PlacementPolicy.of(PolicyName.NEAREST_COPY),
                        settings.limits().storeWindow(),
                        settings.limits().heartbeat());
    }

    /**
     * This host has begun or ceased to lead. Orders of an earlier leadership that a cut holds up
     * must not come to an engine behind those of the next.
     */
    void led(boolean now, ControlSnapshot before) {
        calls.cancelAll();
        leading = now;
        taken = false;
        begun = false;
        if (now) {
            takeOver(before);
        }
    }

    /** Takes over in which zones engines serve nobody. */
    void evacuated(EvacuatedZones zones) {
        keeper.setEvacuatedZones(zones);
    }

    /** Does what is due. */
    void tick() {
        if (!active()) {
            return;
        }
        takeRoutes();
        long now = BootClock.nanos();
        keeper.updateInstances(fleet.instances(), now);
        keeper.setLimitedEngines(limits.limited());
        carryOut(keeper.step(now));
    }

    /** Takes in an entry host's counts. */
    void demanded(DemandReport report) {
        Map<ModelId, Integer> arrivals = new HashMap<>();
        Map<ModelId, Integer> waiting = new HashMap<>();
        long now = BootClock.nanos();
        for (DemandCount count : report.getCountsList()) {
            int slash = count.getModel().indexOf('/');
            String model = slash < 0 ? count.getModel() : count.getModel().substring(0, slash);
            arrivals.merge(new ModelId(model), count.getArrivals(), Integer::sum);
            waiting.merge(new ModelId(model), count.getWaiting(), Integer::sum);
            if (slash >= 0 && count.getArrivals() > 0) {
                keeper.recordAdapterUse(
                        new ModelId(model), count.getModel().substring(slash + 1), now);
            }
        }
        keeper.recordDemand(new HostId(report.getHost()), arrivals, waiting, now);
    }

    /** Takes in what an entry host says of its work at instances. */
    void worked(Map<UpstreamId, InstanceWork> work) {
        keeper.recordWork(work, BootClock.nanos());
    }

    /** Takes in that an entry host cannot connect to an instance. */
    void unreachable(InstanceUnreachable told) {
        logger.info(
                "upstream.unreachable id={} by={} refused={}",
                told.getInstance(),
                told.getHost(),
                told.getRefused());
        keeper.recordConnectFailure(
                UpstreamId.parse(told.getInstance()),
                new HostId(told.getHost()),
                told.getRefused());
    }

    /** Hears what becomes of calls to engines. */
    private final class Calling implements EngineCalls.CallWatcher {
        @Override
        public void limited(UpstreamId id, double perSecond) {
            limits.heardHere(id, perSecond);
        }

        @Override
        public void wantsRest(UpstreamId id, Duration time) {
            logger.info("upstream.rest-heard id={} restMs={}", id, time.toMillis());
            keeper.recordRest(id, time, BootClock.nanos());
        }

        @Override
        public void leaving(UpstreamId id) {
            fleet.leaving(id, settings.peerName());
        }

        @Override
        public void unreachable(UpstreamId id, boolean refused) {
            keeper.recordConnectFailure(id, settings.peerName(), refused);
        }
    }

    /** Takes in that requests wait for an adapter. */
    void wanted(AdapterWanted wanted) {
        if (active()) {
            keeper.requestAdapter(
                    UpstreamId.parse(wanted.getInstance()),
                    new ModelId(wanted.getModel()),
                    wanted.getAdapter(),
                    BootClock.nanos());
            carryOut(keeper.step(BootClock.nanos()));
        }
    }

    private boolean active() {
        if (!leading || !taken || !group.leads()) {
            return false;
        }
        if (!begun && handover.mayIssueOrders(knownOfPredecessor(), electedAt, BootClock.nanos())) {
            begun = true;
            logger.info("orders.begin fence={} predecessor={}", fence, knownOfPredecessor());
        }
        return begun;
    }

    private OrderHandover.Predecessor knownOfPredecessor() {
        return predecessor
                .map(
                        host ->
                                fleet.reaches(host)
                                        ? OrderHandover.Predecessor.REACHABLE
                                        : OrderHandover.Predecessor.UNREACHABLE)
                .orElse(OrderHandover.Predecessor.NONE);
    }

    private void takeOver(ControlSnapshot before) {
        long term = group.view().term();
        String self = settings.peerName().value();
        boolean afterAnother = !before.getHolder().isEmpty() && !before.getHolder().equals(self);
        predecessor = afterAnother ? Optional.of(new HostId(before.getHolder())) : Optional.empty();
        electedAt = BootClock.nanos();
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome =
                            group.command(
                                    ControlLog.takeOverCommand(self, term), TAKE_OVER_TIMEOUT);
                    logger.info(
                            "orders.take-over term={} before={} outcome={}",
                            term,
                            before.getHolder(),
                            outcome);
                    fleet.loop().execute(() -> begin(outcome, term, afterAnother));
                });
    }

    private void begin(CommandOutcome outcome, long term, boolean afterAnother) {
        if (outcome instanceof CommandOutcome.Done && leading && group.view().term() == term) {
            fence = term;
            taken = true;
            keeper.restart(afterAnother, BootClock.nanos());
        }
    }

    private void takeRoutes() {
        Optional<RouteTable> newer =
                fleet.routeTable().filter(table -> table.version() > routesVersion);
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
        keeper.setSpecs(specs);
    }

    private void carryOut(List<ResidencyEffect> effects) {
        for (ResidencyEffect effect : effects) {
            switch (effect) {
                case ResidencyEffect.Send(EngineOrder order) -> send(order);
                case ResidencyEffect.ReadReport(UpstreamId id, String address) -> read(id, address);
                case ResidencyEffect.NotifyResidency tell -> tell(tell);
                case ResidencyEffect.NotifyLoading(UpstreamId id, ModelId model, Duration within) ->
                        fleet.residency(
                                ResidencyChange.newBuilder()
                                        .setInstance(id.toString())
                                        .setModel(model.value())
                                        .setComingMillis(within.toMillis())
                                        .build());
            }
        }
    }

    private void tell(ResidencyEffect.NotifyResidency tell) {
        ResidencyChange change =
                ResidencyChange.newBuilder()
                        .setInstance(tell.instance().toString())
                        .setModel(tell.model().value())
                        .setAdapter(tell.adapter().orElse(""))
                        .setResident(tell.resident())
                        .build();
        if (tell.resident()) {
            fleet.loop()
                    .schedule(
                            () -> fleet.residency(change),
                            ADAPTER_ARRIVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            fleet.residency(change);
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
        calls.post(
                order.instance(),
                order.address(),
                Calls.ORDER,
                body,
                (status, answer) -> orderAnswered(order, status));
    }

    private void orderAnswered(EngineOrder order, Optional<Integer> status) {
        EngineAnswer answer = status.map(OrderGiver::meaning).orElse(EngineAnswer.UNKNOWN);
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
        if (active()) {
            carryOut(keeper.onAnswer(order, answer, BootClock.nanos()));
        }
    }

    private void read(UpstreamId id, String address) {
        calls.get(id, address, Calls.REPORT, (status, answer) -> reportRead(id, status, answer));
    }

    private void reportRead(UpstreamId id, Optional<Integer> status, byte[] answer) {
        long now = BootClock.nanos();
        Either<Finding, EngineReport> report =
                status.equals(Optional.of(200))
                        ? ReportDecoder.decode(answer)
                        : Either.left(new Finding("report", "status " + status));
        if (report.isLeft()) {
            logger.info("report.unread instance={} {}", id, report.getLeft());
            keeper.onReportFailed(id, now);
            return;
        }
        keeper.onReport(id, report.get(), now);
        logger.info(
                "report.read instance={} ordersTaken={} busy={}",
                id,
                report.get().ordersTaken(),
                report.get().busy());
    }

    private static EngineAnswer meaning(int status) {
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
