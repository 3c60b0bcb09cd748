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
final class UpstreamLimits {

    private static final Logger logger = LogManager.getLogger(UpstreamLimits.class);

    /** Between two looks at what is due, beside what requests bring up themselves. */
    private static final long LOOK_MILLIS = 50;

    /** A leader answers within some milliseconds; once it does not, all control hosts are asked. */
    private static final long LEADER_ANSWERS_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final HostId self;
    private final EventLoop loop;
    private final LimitedUpstreams limits;
    private final ControlWay way;
    private final FleetMetrics metrics;
    private final Set<UpstreamId> unreadable = new HashSet<>();
    private Optional<HostId> leader = Optional.empty();
    private long leaderAnsweredAt;
    private boolean lookScheduled;
    private boolean looking;

    UpstreamLimits(
            HostId self,
            EventLoop loop,
            LimitedUpstreams limits,
            ControlWay way,
            FleetMetrics metrics) {
        this.self = self;
        this.loop = loop;
        this.limits = limits;
        this.way = way;
        this.metrics = metrics;
    }

    /** Returns what is known of an instance's limit as a request is sent to it. */
    LimitRevision sent(UpstreamId id) {
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
    void answered(UpstreamId id, HttpResponse head, LimitRevision basis) {
        AnswerHeaders.limit(head.headers()::get)
                .peek(limit -> named(id, limit, basis))
                .peekLeft(
                        finding -> {
                            if (unreadable.add(id)) {
                                logger.warn("upstream.limit-unreadable id={} {}", id, finding);
                            }
                        });
    }

    private void named(UpstreamId id, OptionalDouble limit, LimitRevision basis) {
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
                            tellAll(heard);
                            keepLooking();
                        });
    }

    /** Takes in what the leader says of limits, and returns whether it changes anything. */
    boolean told(LimitWords words) {
        boolean changed = false;
        for (LimitUpdate word : LimitCodec.updates(words)) {
            if (limits.receive(word)) {
                changed = true;
                logger.info("upstream.limit-in-force {}", word.fields());
            }
        }
        keepLooking();
        return changed;
    }

    /** Takes in an answer of the leader, and returns whether a request may be sent. */
    boolean answered(PermitReply reply) {
        leader = Optional.of(new HostId(reply.getLeader()));
        leaderAnsweredAt = BootClock.nanos();
        return limits.receiveAnswer(LimitCodec.answer(self, reply), leaderAnsweredAt);
    }

    /** All requests that wait are about to be looked at anew. */
    void recount() {
        limits.resetWaiting();
    }

    /** Has what requests want asked for at once. */
    void lookSoon() {
        if (!lookScheduled && limits.size() > 0) {
            lookScheduled = true;
            loop.execute(
                    () -> {
                        lookScheduled = false;
                        look();
                    });
        }
    }

    /** Looks again and again while there are limits; without any, no timer wakes this host. */
    private void keepLooking() {
        if (!looking && limits.size() > 0) {
            looking = true;
            loop.schedule(this::lookAgain, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void lookAgain() {
        looking = false;
        try {
            look();
        } finally {
            keepLooking();
        }
    }

    private void look() {
        long now = BootClock.nanos();
        for (PermitRequest want : limits.dueRequests(now)) {
            ask(LimitCodec.request(want, limits.latestUpdate(want.upstream())), now);
        }
        limits.dueObservations(now).forEach(this::tellAll);
    }

    private void ask(Frame frame, long now) {
        boolean answers = now - leaderAnsweredAt < LEADER_ANSWERS_NANOS;
        boolean sent = answers && leader.filter(host -> way.send(host, frame)).isPresent();
        if (!sent) {
            way.sendToAll(frame);
        }
    }

    private void tellAll(LimitObservation heard) {
        way.sendToAll(LimitCodec.observation(self, heard));
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
