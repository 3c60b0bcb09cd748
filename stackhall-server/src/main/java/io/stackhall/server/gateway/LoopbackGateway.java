package io.stackhall.server.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.customer.KeyLease;
import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.RetryLimiter;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.path.TunnelHosts;
import io.stackhall.core.route.DenialPolicy;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.slot.BrittleUpstreams;
import io.stackhall.platform.Headers;
import io.stackhall.rpc.generated.fleet.AllowanceAnswer;
import io.stackhall.rpc.generated.fleet.AllowanceClaim;
import io.stackhall.rpc.generated.fleet.AllowanceDecision;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.UpstreamClient;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * A gateway apart from that of the entry host, with a dispatcher and metrics of its own. It serves
 * the channels of its callers from given instances, and talks to no control host: a stand-in for
 * the leader decides its claims. Confined to one event loop.
 */
public final class LoopbackGateway {

    private static final HostId SELF = new HostId("loopback-entry");
    private static final HostId LEADER = new HostId("loopback-leader");
    private static final long RETRY_AFTER_MILLIS = 100;

    /** Without control hosts, the routes that are set first stay confirmed. */
    private static final Duration ROUTES_STALENESS = Duration.ofDays(1);

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final String deniedCustomer;
    private final Gateway gateway;

    /**
     * Creates a gateway with its routes and instances in force.
     *
     * @param deniedCustomer the customer whose claims the leader denies; it grants all others
     */
    public LoopbackGateway(
            EventLoop loop,
            ZoneId zone,
            RouteTable routes,
            List<Instance> instances,
            String deniedCustomer) {
        this.loop = loop;
        this.deniedCustomer = deniedCustomer;
        Random random = new Random();
        FleetMetrics metrics = new FleetMetrics();
        LeaderConnection leader = new LeaderConnection();
        LimitedUpstreams limited = new LimitedUpstreams(SELF, random);
        OutageAllowance outage = new OutageAllowance(new LimitTolerance(WINDOW, 0, 0), random);
        this.gateway =
                new Gateway(
                        loop,
                        new LoopDelayMeter(),
                        new Dispatcher(
                                zone,
                                new Backpressure(limited, new RestingUpstreams(random)),
                                random),
                        new UpstreamClient(loop, Headers.REQUEST_ID),
                        new UpstreamPathMonitor(new TunnelHosts(zone, random), metrics, random),
                        new RetryLimiter(1, 1, 1, WINDOW),
                        new ControlNotifier(SELF, LoopbackGateway::drop),
                        new CustomerAccess(
                                new KeyLease(Optional.empty()),
                                outage,
                                new AllowanceClient(SELF, loop, leader, outage, () -> 1)),
                        new DenialPolicy(ROUTES_STALENESS),
                        LoopbackGateway::drop,
                        new UpstreamLimitClient(SELF, loop, limited, leader, metrics),
                        new UpstreamSlotClient(
                                SELF, loop, new BrittleUpstreams(SELF), leader, metrics),
                        new StreamOriginClient(zone, loop, leader, metrics),
                        metrics,
                        random);
        gateway.setEntryHostCount(1);
        gateway.setRoutes(routes);
        gateway.denials().confirmed(BootClock.nanos());
        instances.forEach(gateway::instanceChanged);
    }

    /** Returns the handler that sets up the channel of a caller. */
    public ChannelHandler callerChannels() {
        return new CallerChannelInitializer(gateway, () -> {});
    }

    private static void drop(Frame ignored) {
        // There is no control host.
    }

    /** Decides claims at once, through encoded frames as a connection would. */
    private final class LeaderConnection implements ControlHostConnections {
        @Override
        public boolean send(HostId host, Frame frame) {
            try {
                Frame question = Frame.parseFrom(frame.toByteArray());
                Frame answer = Frame.parseFrom(decide(question).toByteArray());
                loop.execute(
                        () ->
                                gateway.customers()
                                        .allowanceClient()
                                        .receive(answer.getAllowanceAnswer()));
                return true;
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException("a frame is not read as it was written", e);
            }
        }

        @Override
        public List<HostId> known() {
            return List.of(LEADER);
        }

        @Override
        public List<HostId> connected() {
            return List.of(LEADER);
        }

        @Override
        public Map<HostId, ZoneId> zones() {
            return Map.of();
        }
    }

    private Frame decide(Frame question) {
        AllowanceAnswer.Builder answer =
                AllowanceAnswer.newBuilder().setLeads(true).setLeader(LEADER.value());
        for (AllowanceClaim claim : question.getAllowanceAsk().getClaimsList()) {
            if (claim.getNumber() != 0) {
                answer.addDecisions(
                        AllowanceDecision.newBuilder()
                                .setNumber(claim.getNumber())
                                .setGranted(!claim.getCustomer().equals(deniedCustomer))
                                .setRetryAfterMillis(RETRY_AFTER_MILLIS));
            }
        }
        return Frame.newBuilder().setAllowanceAnswer(answer).build();
    }
}
