package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitObservation;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.limit.PermitRequest;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.rpc.generated.fleet.LimitWords;
import io.stackhall.rpc.generated.fleet.PermitReply;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.LimitCodec;
import io.stackhall.server.metrics.FleetMetrics;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reports to the leader of the control group the rate limits that upstreams announce to one entry
 * host, and requests permits from it to send to them. Not thread-safe: confined to one event loop.
 */
final class UpstreamLimitClient {

    private static final Logger logger = LogManager.getLogger(UpstreamLimitClient.class);

    /** Interval of the checks for due messages, besides those that requests trigger. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    /**
     * A leader answers within some milliseconds; after this time without an answer, permits are
     * requested from all control hosts.
     */
    private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final HostId self;
    private final EventLoop loop;
    private final LimitedUpstreams limits;
    private final ControlHostConnections controlHosts;
    private final FleetMetrics metrics;
    private final Set<UpstreamId> unreadable = new HashSet<>();
    private Optional<HostId> leader = Optional.empty();
    private long leaderAnsweredAt;
    private boolean checkScheduled;
    private boolean periodicCheckScheduled;

    UpstreamLimitClient(
            HostId self,
            EventLoop loop,
            LimitedUpstreams limits,
            ControlHostConnections controlHosts,
            FleetMetrics metrics) {
        this.self = self;
        this.loop = loop;
        this.limits = limits;
        this.controlHosts = controlHosts;
        this.metrics = metrics;
    }

    /**
     * Records that a request is sent, and returns the revision of the instance's limit at that
     * time.
     */
    LimitRevision recordSent(UpstreamId id) {
        if (limits.limit(id).isPresent()) {
            metrics.limitedRequest("sent");
        }
        return limits.revision(id);
    }

    /**
     * Reads the limit from the head of an answer.
     *
     * @param basis the revision of the limit when the request was sent
     */
    void readLimit(UpstreamId id, HttpResponse head, LimitRevision basis) {
        AnswerHeaders.limit(head.headers()::get)
                .peek(limit -> observeLimit(id, limit, basis))
                .peekLeft(
                        finding -> {
                            if (unreadable.add(id)) {
                                logger.warn("upstream.limit-unreadable id={} {}", id, finding);
                            }
                        });
    }

    private void observeLimit(UpstreamId id, OptionalDouble limit, LimitRevision basis) {
        OptionalDouble before = limits.limit(id);
        limits.observe(id, limit, basis, BootClock.nanos())
                .ifPresent(
                        observation -> {
                            logger.info(
                                    "upstream.limit-heard id={} perSecond={} before={} term={}"
                                            + " count={}",
                                    id,
                                    LimitUpdate.text(limit),
                                    LimitUpdate.text(before),
                                    basis.term(),
                                    basis.sequence());
                            publishObservation(observation);
                            schedulePeriodicCheck();
                        });
    }

    /** Applies limit updates from the leader, and returns whether any limit has changed. */
    boolean receiveUpdates(LimitWords updates) {
        boolean changed = false;
        for (LimitUpdate update : LimitCodec.updates(updates)) {
            if (limits.receive(update)) {
                changed = true;
                logger.info("upstream.limit-in-force {}", update.fields());
            }
        }
        schedulePeriodicCheck();
        return changed;
    }

    /**
     * Handles the leader's answer to permit requests, and returns whether a request may be sent.
     */
    boolean receivePermitReply(PermitReply reply) {
        leader = Optional.of(new HostId(reply.getLeader()));
        leaderAnsweredAt = BootClock.nanos();
        return limits.receiveAnswer(LimitCodec.answer(self, reply), leaderAnsweredAt);
    }

    /** Resets the count of waiting requests, before all of them are tried again. */
    void resetWaiting() {
        limits.resetWaiting();
    }

    /** Schedules a check as the next task of the event loop, if there are limits. */
    void scheduleCheck() {
        if (!checkScheduled && limits.size() > 0) {
            checkScheduled = true;
            loop.execute(
                    () -> {
                        checkScheduled = false;
                        check();
                    });
        }
    }

    /** Schedules periodic checks while there are limits; without any, no timer wakes this host. */
    private void schedulePeriodicCheck() {
        if (!periodicCheckScheduled && limits.size() > 0) {
            periodicCheckScheduled = true;
            loop.schedule(this::runPeriodicCheck, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runPeriodicCheck() {
        periodicCheckScheduled = false;
        try {
            check();
        } finally {
            schedulePeriodicCheck();
        }
    }

    private void check() {
        long now = BootClock.nanos();
        for (PermitRequest request : limits.dueRequests(now)) {
            sendPermitRequest(
                    LimitCodec.request(request, limits.latestUpdate(request.upstream())), now);
        }
        limits.dueObservations(now).forEach(this::publishObservation);
    }

    private void sendPermitRequest(Frame frame, long now) {
        boolean leaderAnswers = now - leaderAnsweredAt < LEADER_TIMEOUT_NANOS;
        boolean sent =
                leaderAnswers && leader.filter(host -> controlHosts.send(host, frame)).isPresent();
        if (!sent) {
            controlHosts.sendToAll(frame);
        }
    }

    private void publishObservation(LimitObservation observation) {
        controlHosts.sendToAll(LimitCodec.observation(self, observation));
    }

    /** Removes the state of an instance that is gone. */
    void forget(UpstreamId id) {
        unreadable.remove(id);
    }

    /** Updates the gauge of limited upstreams. */
    void measure() {
        metrics.state("limited_upstreams", limits.size());
    }
}
