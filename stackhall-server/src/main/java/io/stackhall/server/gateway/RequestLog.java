package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes one line for each decision on one request, with what it was decided from. */
final class RequestLog {

    private static final Logger logger = LogManager.getLogger(RequestLog.class);

    private final String id;
    private final long arrivedAt;

    RequestLog(CallerRequest request) {
        this.id = request.id();
        this.arrivedAt = request.arrivedAt();
    }

    void noRoute(String host, String target, long routesVersion) {
        logger.info(
                "request.no-route id={} host={} target={} routesVersion={}",
                id,
                host,
                target,
                routesVersion);
    }

    /** It is sent to an instance, which has so many requests by a report of that sequence. */
    void sent(Need need, Instance instance, int send, String why, long waitedNanos, double load) {
        logger.info(
                "request.sent id={} instance={} service={} model={} adapter={} send={} why={}"
                        + " waitedMs={} occupancy={} instanceSequence={}",
                id,
                instance.id(),
                need.service(),
                need.model().map(Object::toString).orElse(""),
                need.adapter().orElse(""),
                send,
                why,
                TimeUnit.NANOSECONDS.toMillis(waitedNanos),
                (long) load,
                instance.sequence());
    }

    void answered(int status, OptionalLong lastEvent, int sends) {
        logger.info(
                "request.answered id={} status={} lastEvent={} ageMs={} sends={}",
                id,
                status,
                lastEvent,
                ageMillis(),
                sends);
    }

    void notRun(Instance instance, int status) {
        logger.info(
                "attempt.not-run id={} instance={} status={} ageMs={}",
                id,
                instance.id(),
                status,
                ageMillis());
    }

    void attemptFailed(Instance instance, boolean sent, String reason, OptionalLong lastEvent) {
        logger.info(
                "attempt.failed id={} instance={} sent={} reason={} lastEvent={} ageMs={}",
                id,
                instance.id(),
                sent,
                reason,
                lastEvent,
                ageMillis());
    }

    void refused(Need need, String reason, Duration retryAfter, int sends, long routesVersion) {
        logger.info(
                "request.refused id={} reason={} retryAfterMs={} service={} model={} adapter={}"
                        + " rank={} ageMs={} sends={} routesVersion={}",
                id,
                reason,
                retryAfter.toMillis(),
                need == null ? "" : need.service(),
                need == null ? "" : need.model().map(Object::toString).orElse(""),
                need == null ? "" : need.adapter().orElse(""),
                need == null ? -1 : need.rank(),
                ageMillis(),
                sends,
                routesVersion);
    }

    void failed(int status, String reason, int sends) {
        logger.info(
                "request.failed id={} status={} reason={} ageMs={} sends={}",
                id,
                status,
                reason,
                ageMillis(),
                sends);
    }

    void brokenOff(String reason, OptionalLong lastEvent, int sends) {
        logger.info(
                "request.broken-off id={} reason={} lastEvent={} ageMs={} sends={}",
                id,
                reason,
                lastEvent,
                ageMillis(),
                sends);
    }

    void callerLeft(int sends) {
        logger.info("request.caller-left id={} ageMs={} sends={}", id, ageMillis(), sends);
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedAt);
    }
}
