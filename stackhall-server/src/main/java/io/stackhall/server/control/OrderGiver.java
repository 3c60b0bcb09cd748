package io.stackhall.server.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.core.config.Finding;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.residency.EngineAnswer;
import io.stackhall.core.residency.EngineOrder;
import io.stackhall.core.residency.EngineReport;
import io.stackhall.core.residency.ResidencyEffect;
import io.stackhall.core.residency.ResidencyKeeper;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.RouteTable;
import io.stackhall.platform.Calls;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.platform.Headers;
import io.stackhall.platform.OrderEncoder;
import io.stackhall.platform.ReportDecoder;
import io.stackhall.rpc.generated.fleet.AdapterWanted;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
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

    /** Engines answer orders within some milliseconds. */
    private static final long ANSWER_MILLIS = 900;

    /** An adapter arrives some 6 to 20 ms after its order is taken, later while many come. */
    private static final long ADAPTER_ARRIVAL_MILLIS = 40;

    private static final Duration TAKE_OVER_TIMEOUT = Duration.ofSeconds(2);

    /** Orders of the predecessor may be on their way a little longer than its lease. */
    private static final Duration PAUSE_MARGIN = Duration.ofMillis(300);

    private final FleetSettings settings;
    private final ControlGroup group;
    private final FleetKeeper fleet;
    private final UpstreamClient upstreams;
    private final ResidencyKeeper keeper;
    private long routesVersion = -1;
    private boolean leading;
    private boolean taken;
    private long startsAt;
    private long fence;

    OrderGiver(
            FleetSettings settings,
            ControlGroup group,
            FleetKeeper fleet,
            UpstreamClient upstreams) {
        this.settings = settings;
        this.group = group;
        this.fleet = fleet;
        this.upstreams = upstreams;
        this.keeper =
                new ResidencyKeeper(
                        PlacementPolicy.of(PolicyName.NEAREST_COPY),
                        settings.limits().storeWindow());
    }

    /** This host has begun or ceased to lead. */
    void led(boolean now, ControlSnapshot before) {
        leading = now;
        taken = false;
        if (now) {
            takeOver(before);
        }
    }

    /** Does what is due. */
    void tick() {
        if (!active()) {
            return;
        }
        takeRoutes();
        long now = System.nanoTime();
        keeper.known(fleet.instances(), now);
        carryOut(keeper.step(now));
    }

    /** Takes in an entry host's counts. */
    void demanded(DemandReport report) {
        Map<ModelId, Integer> arrivals = new HashMap<>();
        Map<ModelId, Integer> waiting = new HashMap<>();
        long now = System.nanoTime();
        for (DemandCount count : report.getCountsList()) {
            int slash = count.getModel().indexOf('/');
            String model = slash < 0 ? count.getModel() : count.getModel().substring(0, slash);
            arrivals.merge(new ModelId(model), count.getArrivals(), Integer::sum);
            waiting.merge(new ModelId(model), count.getWaiting(), Integer::sum);
            if (slash >= 0 && count.getArrivals() > 0) {
                keeper.adapterUsed(new ModelId(model), count.getModel().substring(slash + 1), now);
            }
        }
        keeper.demanded(new HostId(report.getHost()), arrivals, waiting, now);
    }

    /** Takes in that requests wait for an adapter. */
    void wanted(AdapterWanted wanted) {
        if (active()) {
            keeper.adapterWanted(
                    new UpstreamId(wanted.getInstance()),
                    new ModelId(wanted.getModel()),
                    wanted.getAdapter(),
                    System.nanoTime());
            carryOut(keeper.step(System.nanoTime()));
        }
    }

    private boolean active() {
        return leading && taken && System.nanoTime() - startsAt >= 0 && group.leads();
    }

    private void takeOver(ControlSnapshot before) {
        long term = group.view().term();
        String self = settings.peerName().value();
        boolean afterAnother = !before.getHolder().isEmpty() && !before.getHolder().equals(self);
        Duration pause =
                before.getHolder().isEmpty()
                        ? Duration.ZERO
                        : settings.limits().orderPause().plus(PAUSE_MARGIN);
        long earliest = System.nanoTime() + pause.toNanos();
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome =
                            group.command(
                                    ControlLog.takeOverCommand(self, term), TAKE_OVER_TIMEOUT);
                    logger.info(
                            "orders.take-over term={} before={} outcome={} pauseMs={}",
                            term,
                            before.getHolder(),
                            outcome,
                            pause.toMillis());
                    fleet.loop().execute(() -> begin(outcome, term, earliest, afterAnother));
                });
    }

    private void begin(CommandOutcome outcome, long term, long earliest, boolean afterAnother) {
        if (outcome instanceof CommandOutcome.Done && leading && group.view().term() == term) {
            fence = term;
            startsAt = earliest;
            taken = true;
            keeper.restart(afterAnother, System.nanoTime());
        }
    }

    private void takeRoutes() {
        ControlSnapshot routes = fleet.routes();
        if (routes.getVersion() <= routesVersion) {
            return;
        }
        Either<Finding, RouteTable> decoded =
                ConfigurationDecoder.decode(routes.getBody().toByteArray());
        if (decoded.isLeft()) {
            logger.error("routes.unreadable version={} {}", routes.getVersion(), decoded.getLeft());
            return;
        }
        routesVersion = routes.getVersion();
        Map<ServiceName, EngineSpec> specs = new HashMap<>();
        decoded.get()
                .services()
                .forEach(
                        service ->
                                service.engine()
                                        .ifPresent(engine -> specs.put(service.name(), engine)));
        keeper.specs(specs);
    }

    private void carryOut(List<ResidencyEffect> effects) {
        for (ResidencyEffect effect : effects) {
            switch (effect) {
                case ResidencyEffect.Send(EngineOrder order) -> send(order);
                case ResidencyEffect.ReadReport(UpstreamId id, String address) -> read(id, address);
                case ResidencyEffect.Tell tell -> tell(tell);
                case ResidencyEffect.TellComing(UpstreamId id, ModelId model, Duration within) ->
                        fleet.residency(
                                ResidencyChange.newBuilder()
                                        .setInstance(id.value())
                                        .setModel(model.value())
                                        .setComingMillis(within.toMillis())
                                        .build());
            }
        }
    }

    private void tell(ResidencyEffect.Tell tell) {
        ResidencyChange change =
                ResidencyChange.newBuilder()
                        .setInstance(tell.instance().value())
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
        FullHttpRequest request = request(HttpMethod.POST, Calls.ORDER, body, order.instance());
        new Call(order.address(), request) {
            @Override
            void done(Optional<Integer> status, byte[] answer) {
                orderAnswered(order, status);
            }
        }.start();
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
            carryOut(keeper.answered(order, answer, System.nanoTime()));
        }
    }

    private void read(UpstreamId id, String address) {
        FullHttpRequest request = request(HttpMethod.GET, Calls.REPORT, new byte[0], id);
        new Call(address, request) {
            @Override
            void done(Optional<Integer> status, byte[] answer) {
                long now = System.nanoTime();
                Either<Finding, EngineReport> report =
                        status.equals(Optional.of(200))
                                ? ReportDecoder.decode(answer)
                                : Either.left(new Finding("report", "status " + status));
                if (report.isLeft()) {
                    logger.info("report.unread instance={} {}", id, report.getLeft());
                    keeper.readFailed(id, now);
                } else {
                    keeper.read(id, report.get(), now);
                    logger.info(
                            "report.read instance={} ordersTaken={} busy={}",
                            id,
                            report.get().ordersTaken(),
                            report.get().busy());
                }
            }
        }.start();
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

    private static FullHttpRequest request(
            HttpMethod method, String path, byte[] body, UpstreamId expected) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "engine");
        request.headers().set(Headers.EXPECTED_INSTANCE, expected.value());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return request;
    }

    /** A call of this host's own, with a bound on its time, written only under the lease. */
    private abstract class Call implements CallListener {
        private final Address address;
        private final FullHttpRequest request;
        private final ByteBuf body = Unpooled.buffer();
        private UpstreamCall call;
        private ScheduledFuture<?> timeout;
        private int status;

        Call(String address, FullHttpRequest request) {
            this.address = Address.parse(address);
            this.request = request;
        }

        abstract void done(Optional<Integer> answered, byte[] answer);

        void start() {
            timeout = fleet.loop().schedule(this::outOfTime, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            call = upstreams.send(address, request, "", this);
        }

        @Override
        public boolean sending() {
            return active();
        }

        @Override
        public void answered(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void received(ByteBuf part) {
            body.writeBytes(part);
        }

        @Override
        public void completed() {
            finish(Optional.of(status));
        }

        @Override
        public void failed(CallFailure failure) {
            logger.info("order.unanswered address={} reason={}", address, failure.reason());
            finish(Optional.empty());
        }

        private void outOfTime() {
            call.cancel();
            finish(Optional.empty());
        }

        private void finish(Optional<Integer> answered) {
            timeout.cancel(false);
            done(answered, ByteBufUtil.getBytes(body));
        }
    }
}
