package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.slot.BrittleUpstreams;
import io.stackhall.core.slot.SlotRequest;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.rpc.generated.fleet.SlotReply;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.SlotCodec;
import io.stackhall.server.metrics.FleetMetrics;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tells the leader of the control group what one entry host has and wants at brittle upstreams, and
 * receives its leases of their slots. Not thread-safe: confined to one event loop.
 */
final class UpstreamSlotClient {

    private static final Logger logger = LogManager.getLogger(UpstreamSlotClient.class);

    /** After this time without an answer, all control hosts are asked. */
    private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final HostId self;
    private final EventLoop loop;
    private final BrittleUpstreams slots;
    private final ControlHostConnections controlHosts;
    private final FleetMetrics metrics;
    private Optional<HostId> leader = Optional.empty();
    private long answeredAt;
    private boolean checkScheduled;

    UpstreamSlotClient(
            HostId self,
            EventLoop loop,
            BrittleUpstreams slots,
            ControlHostConnections controlHosts,
            FleetMetrics metrics) {
        this.self = self;
        this.loop = loop;
        this.slots = slots;
        this.controlHosts = controlHosts;
        this.metrics = metrics;
    }

    /** Applies a change of an instance that is not gone. */
    void instanceChanged(Instance instance) {
        slots.add(instance.id(), instance.service(), instance.slots());
    }

    /** Reads from the head of an answer whether its upstream is brittle. */
    void receive(UpstreamId id, HttpResponse head) {
        boolean brittle = AnswerHeaders.brittle(head.headers()::get);
        if (slots.heard(id, brittle, BootClock.nanos())) {
            logger.info("upstream.brittle-heard id={} brittle={}", id, brittle);
            scheduleCheck();
        }
    }

    /** Returns whether an upstream falls over if it has to refuse many requests. */
    boolean isBrittle(UpstreamId id) {
        return slots.isBrittle(id, BootClock.nanos());
    }

    /** Resets the count of waiting requests, before all of them are tried again. */
    void resetWaiting() {
        slots.resetWaiting();
    }

    /** Applies a lease, and returns whether it allows a request to be sent. */
    boolean receive(SlotReply reply) {
        leader = Optional.of(new HostId(reply.getLeader()));
        answeredAt = BootClock.nanos();
        return slots.receive(SlotCodec.lease(self, reply), answeredAt);
    }

    /**
     * Schedules a check as the next task of the event loop, and further ones while there are
     * brittle upstreams; without any, no timer wakes this host.
     */
    void scheduleCheck() {
        if (!checkScheduled && slots.count(BootClock.nanos()) > 0) {
            checkScheduled = true;
            loop.execute(this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        long now = BootClock.nanos();
        for (SlotRequest request : slots.dueRequests(now)) {
            send(SlotCodec.encode(request), now);
        }
        if (slots.count(now) > 0) {
            checkScheduled = true;
            loop.schedule(
                    this::check, BrittleUpstreams.MIN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void send(Frame frame, long now) {
        boolean leaderAnswers = now - answeredAt < LEADER_TIMEOUT_NANOS;
        boolean sent =
                leaderAnswers && leader.filter(host -> controlHosts.send(host, frame)).isPresent();
        if (!sent) {
            controlHosts.sendToAll(frame);
        }
    }

    /** Updates the gauge of brittle upstreams. */
    void measure() {
        metrics.state("brittle_upstreams", slots.count(BootClock.nanos()));
    }
}
