package io.stackhall.server.gateway;

import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.WaitReason;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.TakeUp;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineBudget;
import io.stackhall.server.metrics.FleetMetrics;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs the decisions about one request, each in one line with the values that it was based on, and
 * counts them in the metrics. A line is left out if its kind has used up its {@link LineBudget}.
 */
final class RequestLog {

    private static final Logger logger = LogManager.getLogger(RequestLog.class);

    private final LineBudget lineBudget;
    private final FleetMetrics metrics;
    private final String id;
    private final RequestDigest digest;
    private final AttemptLog attempts;
    private final long arrivedAt;
    private final String resumes;
    private String route = "none";
    private String customer = "";
    private long firstByteMillis = -1;
    private final Set<WaitReason> heldBackFor = EnumSet.noneOf(WaitReason.class);

    RequestLog(Gateway gateway, CallerRequest request, RequestFingerprint fingerprint) {
        this.lineBudget = gateway.lineBudget();
        this.metrics = gateway.metrics();
        this.id = request.id();
        this.digest = fingerprint.request();
        this.arrivedAt = request.arrivedAt();
        this.resumes = request.resumedId().orElse("");
        this.attempts = new AttemptLog(gateway, request, fingerprint);
    }

    /** Returns the log of the request's attempts. */
    AttemptLog attempts() {
        return attempts;
    }

    /** Sets the name of the request's route. */
    void setRoute(String name) {
        route = name;
    }

    /** Sets the customer that the request belongs to, if any. */
    void setCustomer(Optional<Customer> holder) {
        customer = holder.map(one -> one.id().value()).orElse("");
        attempts.setCustomer(customer);
    }

    /** Logs that the active configuration does not allow the request, and how old it may be. */
    void denied(int status, String reason, CallerRequest request, RoutesStanding standing) {
        metrics.requestEnded(route, "denied");
        metrics.requestDenied(status, reason);
        metrics.customerRequest(customer, "denied");
        long leftOut = lineBudget.take(LineBudget.Kind.FAILED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.denied id={} status={} reason={} host={} target={} routesVersion={}"
                            + " reportedVersion={} confirmationAgeMs={} ageMs={} leftOut={}",
                    id,
                    status,
                    reason,
                    request.authority(),
                    request.target(),
                    standing.version(),
                    standing.reported(),
                    standing.confirmationAgeMillis(),
                    ageMillis(),
                    leftOut);
        }
    }

    /**
     * Logs, once for each reason, that the request waits because an instance that could run it is
     * at its limit or at rest.
     */
    void heldBack(Choice.HeldBack held, int ahead) {
        if (!heldBackFor.add(held.reason())) {
            return;
        }
        countHeldBack(held, "held");
        long leftOut = lineBudget.take(LineBudget.Kind.ATTEMPT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "{} id={} instance={} expectedMs={} ageMs={} leftOut={}",
                    held.reason() == WaitReason.REST ? "request.resting" : "request.limited",
                    id,
                    held.instance().id(),
                    held.expectedWait(ahead).toMillis(),
                    ageMillis(),
                    leftOut);
        }
    }

    /**
     * Counts a request that is refused because no instance that is at its limit or at rest can take
     * it in time.
     */
    void refusedWhileHeldBack(Choice.HeldBack held) {
        countHeldBack(held, "refused");
    }

    private void countHeldBack(Choice.HeldBack held, String outcome) {
        switch (held) {
            case Choice.Limited limited -> metrics.limitedRequest(outcome);
            case Choice.Resting resting -> metrics.restedRequest(outcome);
        }
    }

    /** Logs whether a stream that the caller takes up goes on, and what that is known from. */
    void takenUp(TakeUp decision) {
        String outcome =
                switch (decision) {
                    case TakeUp.GoOn go -> go.evidence().name();
                    case TakeUp.Refused refused -> refused.reason().name();
                };
        String software =
                decision instanceof TakeUp.GoOn(StreamOrigin origin, TakeUp.Evidence evidence)
                        ? origin.software().value()
                        : "";
        metrics.streamTakenUp(outcome);
        long leftOut = lineBudget.take(LineBudget.Kind.ATTEMPT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.takes-up id={} resumes={} known={} software={} ageMs={} leftOut={}",
                    id,
                    resumes,
                    outcome,
                    software,
                    ageMillis(),
                    leftOut);
        }
    }

    /** Records that the first bytes of the answer have arrived. */
    void answerBegun() {
        firstByteMillis = ageMillis();
        metrics.reached("first", BootClock.nanos() - arrivedAt);
    }

    void answered(int status, AnswerEnd end, OptionalLong lastEvent, int sends) {
        metrics.requestEnded(route, "answered");
        metrics.answerEnded(end.framing().name());
        metrics.customerRequest(customer, "answered");
        metrics.reached("end", BootClock.nanos() - arrivedAt);
        long leftOut = lineBudget.take(LineBudget.Kind.ANSWERED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.answered id={} status={} framing={} lastEvent={}"
                            + " firstMs={} ageMs={} sends={} connection={} exchange={}"
                            + " leftOut={}",
                    id,
                    status,
                    end.framing(),
                    lastEvent,
                    firstByteMillis,
                    ageMillis(),
                    sends,
                    attempts.use().connection(),
                    attempts.use().exchange(),
                    leftOut);
        }
    }

    void refused(Need need, String reason, Duration retryAfter, int sends, long routesVersion) {
        metrics.requestEnded(route, "refused");
        metrics.customerRequest(customer, "refused");
        long leftOut = lineBudget.take(LineBudget.Kind.FAILED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.refused id={} digest={} reason={} retryAfterMs={} service={} model={}"
                            + " adapter={} rank={} ageMs={} sends={} routesVersion={} customer={}"
                            + " leftOut={}",
                    id,
                    digest,
                    reason,
                    retryAfter.toMillis(),
                    need == null ? "" : need.service(),
                    need == null ? "" : need.model().map(Object::toString).orElse(""),
                    need == null ? "" : need.adapter().orElse(""),
                    need == null ? -1 : need.rank(),
                    ageMillis(),
                    sends,
                    routesVersion,
                    customer,
                    leftOut);
        }
    }

    /**
     * Logs that the request is refused since it crashes instances, or a part of its prompt does.
     */
    void condemned(Standing.Condemned condemned) {
        metrics.condemnedRequest(condemned.cause().kind());
        long leftOut = lineBudget.take(LineBudget.Kind.FAILED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.condemned id={} digest={} cause={} leftMs={} leftOut={}",
                    id,
                    digest,
                    condemned.cause(),
                    condemned.left().toMillis(),
                    leftOut);
        }
    }

    void failed(int status, String reason, int sends) {
        metrics.requestEnded(route, "failed");
        metrics.customerRequest(customer, "failed");
        long leftOut = lineBudget.take(LineBudget.Kind.FAILED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.failed id={} status={} reason={} ageMs={} sends={} customer={}"
                            + " leftOut={}",
                    id,
                    status,
                    reason,
                    ageMillis(),
                    sends,
                    customer,
                    leftOut);
        }
    }

    void aborted(String reason, OptionalLong lastEvent, int sends) {
        metrics.requestEnded(route, "broken-off");
        long leftOut = lineBudget.take(LineBudget.Kind.FAILED, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.broken-off id={} reason={} lastEvent={} ageMs={} sends={} leftOut={}",
                    id,
                    reason,
                    lastEvent,
                    ageMillis(),
                    sends,
                    leftOut);
        }
    }

    void callerDisconnected(int sends) {
        metrics.requestEnded(route, "caller-left");
        long leftOut = lineBudget.take(LineBudget.Kind.LEFT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.caller-left id={} ageMs={} sends={} leftOut={}",
                    id,
                    ageMillis(),
                    sends,
                    leftOut);
        }
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - arrivedAt);
    }
}
