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
 * Tells the leader of the control group which limits upstreams name to one entry host, and asks it
 * for permits to send to them. Used on one event loop.
 */
final class UpstreamLimitClient {

    private static final Logger logger = LogManager.getLogger(UpstreamLimitClient.class);

    /** Between two looks at what is due, beside what requests bring up themselves. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    /** A leader answers within some milliseconds; once it does not, all control hosts are asked. */
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
            ControlHostConnections way,
            FleetMetrics metrics) {
        this.self = self;
        this.loop = loop;
        this.limits = limits;
        this.controlHosts = way;
        this.metrics = metrics;
    }

    /** Returns what is known of an instance's limit as a request is sent to it. */
    LimitRevision recordSent(UpstreamId id) {
        if (limits.limit(id).isPresent()) {
            metrics.limitedRequest("sent");
        }
        return limits.revision(id);
    }

    /**
     * Takes in the head of an answer.
     *
     * @param basis what was known of the limit when the request was sent
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
                        heard -> {
                            logger.info(
                                    "upstream.limit-heard id={} perSecond={} before={} term={}"
                                            + " count={}",
                                    id,
                                    LimitUpdate.text(limit),
                                    LimitUpdate.text(before),
                                    basis.term(),
                                    basis.sequence());
                            publishObservation(heard);
                            schedulePeriodicCheck();
                        });
    }

    /** Takes in what the leader says of limits, and returns whether it changes anything. */
    boolean receiveUpdates(LimitWords words) {
        boolean changed = false;
        for (LimitUpdate word : LimitCodec.words(words)) {
            if (limits.receive(word)) {
                changed = true;
                logger.info("upstream.limit-in-force {}", word.fields());
            }
        }
        schedulePeriodicCheck();
        return changed;
    }

    /** Takes in an answer of the leader, and returns whether a request may be sent. */
    boolean receivePermitReply(PermitReply reply) {
        leader = Optional.of(new HostId(reply.getLeader()));
        leaderAnsweredAt = BootClock.nanos();
        return limits.receiveAnswer(LimitCodec.answer(self, reply), leaderAnsweredAt);
    }

    /** All requests that wait are about to be looked at anew. */
    void resetWaiting() {
        limits.resetWaiting();
    }

    /** Has what requests want asked for at once. */
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

    /** Looks again and again while there are limits; without any, no timer wakes this host. */
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
        for (PermitRequest want : limits.dueRequests(now)) {
            sendPermitRequest(LimitCodec.ask(want, limits.latestUpdate(want.upstream())), now);
        }
        limits.dueObservations(now).forEach(this::publishObservation);
    }

    private void sendPermitRequest(Frame frame, long now) {
        boolean answers = now - leaderAnsweredAt < LEADER_TIMEOUT_NANOS;
        boolean sent = answers && leader.filter(host -> controlHosts.send(host, frame)).isPresent();
        if (!sent) {
            controlHosts.sendToAll(frame);
        }
    }

    private void publishObservation(LimitObservation heard) {
        controlHosts.sendToAll(LimitCodec.heard(self, heard));
    }

    /** Forgets an instance that is gone. */
    void forget(UpstreamId id) {
        unreadable.remove(id);
    }

    /** Brings the measures of the present state up to date. */
    void measure() {
        metrics.state("limited_upstreams", limits.size());
    }
}
