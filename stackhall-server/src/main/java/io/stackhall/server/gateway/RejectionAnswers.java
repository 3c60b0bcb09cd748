package io.stackhall.server.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Creates, logs and counts the answers to requests of which this host has no whole head or body.
 */
final class RejectionAnswers {

    private static final Logger logger = LogManager.getLogger(RejectionAnswers.class);

    private final Gateway gateway;

    RejectionAnswers(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Returns the answer to a request that cannot be read. */
    FullHttpResponse malformed(String reason) {
        return denied(HttpResponseStatus.BAD_REQUEST, "malformed", reason);
    }

    /** Returns the answer to a request for what is served elsewhere, if at all. */
    FullHttpResponse misdirected(String reason) {
        return denied(HttpResponseStatus.MISDIRECTED_REQUEST, "misdirected", reason);
    }

    /** Returns the answer to a request that is larger than a limit allows. */
    FullHttpResponse tooLarge(HttpResponseStatus status, String reason) {
        return denied(status, "too-large", reason);
    }

    /** Returns the answer to a request that has not arrived in time. */
    FullHttpResponse timedOut(String reason) {
        log(HttpResponseStatus.REQUEST_TIMEOUT, reason);
        return Answers.failure(HttpResponseStatus.REQUEST_TIMEOUT, reason, "");
    }

    /** Returns the answer to a request that is larger than a limit that may have been raised. */
    FullHttpResponse unconfirmed(String reason, Duration retryAfter) {
        String why = reason + ", unless the limit has been raised";
        log(HttpResponseStatus.SERVICE_UNAVAILABLE, why);
        return Answers.refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, why, "", retryAfter);
    }

    private FullHttpResponse denied(HttpResponseStatus status, String kind, String reason) {
        gateway.metrics().requestDenied(status.code(), kind);
        log(status, reason);
        return Answers.failure(status, reason, "");
    }

    private void log(HttpResponseStatus status, String reason) {
        RoutesStanding standing = gateway.denials().standing();
        logger.info(
                "request.malformed status={} reason={} routesVersion={} reportedVersion={}"
                        + " confirmationAgeMs={}",
                status.code(),
                reason,
                standing.version(),
                standing.reported(),
                standing.confirmationAgeMillis());
    }
}
