package io.stackhall.server.gateway;

import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.WaitReason;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.quarantine.PromptPartDigest;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.TakeUp;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineBudget;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.ConnectionUse;
import io.stackhall.server.relay.ForeignAnswer;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
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
    private final String parts;
    private final long arrivedAt;
    private final String resumes;
    private String route = "none";
    private String customer = "";
    private long firstByteMillis = -1;
    private ConnectionUse use = ConnectionUse.NONE;
    private final Set<WaitReason> heldBackFor = EnumSet.noneOf(WaitReason.class);

    RequestLog(Gateway gateway, CallerRequest request, RequestFingerprint fingerprint) {
        this.lineBudget = gateway.lineBudget();
        this.metrics = gateway.metrics();
        this.id = request.id();
        this.digest = fingerprint.request();
        this.parts =
                fingerprint.parts().stream()
                        .map(PromptPartDigest::value)
                        .collect(Collectors.joining(","));
        this.arrivedAt = request.arrivedAt();
        this.resumes = request.resumedId().orElse("");
    }

    /** Sets the name of the request's route. */
    void setRoute(String name) {
        route = name;
    }

    /** Sets which connection has brought the answer that is logged next. */
    void setConnectionUse(ConnectionUse place) {
        use = place;
    }

    /** Sets the customer that the request belongs to, if any. */
    void setCustomer(Optional<Customer> holder) {
        customer = holder.map(one -> one.id().value()).orElse("");
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
     * Logs that the request is sent to an instance.
     *
     * @param send the number of this send, from 1
     * @param why the reason for which the dispatcher has chosen the instance
     * @param load the estimated number of requests that the instance runs or queues; the line also
     *     names the sequence number of the announcement that it is based on
     * @param lastEvent the last event that the caller has of the stream, if it has one
     */
    void sent(
            Need need,
            Instance instance,
            int send,
            String why,
            long waitedNanos,
            WaitReason waitedFor,
            double load,
            OptionalLong lastEvent) {
        metrics.reached("send", waitedNanos);
        long leftOut = lineBudget.take(LineBudget.Kind.SENT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "request.sent id={} digest={} parts={} instance={} service={} model={}"
                            + " adapter={} send={} why={} waitedMs={} waitedFor={} occupancy={}"
                            + " instanceSequence={} software={} resumes={} afterEvent={}"
                            + " customer={} leftOut={}",
                    id,
                    digest,
                    parts,
                    instance.id(),
                    need.service(),
                    need.model().map(Object::toString).orElse(""),
                    need.adapter().orElse(""),
                    send,
                    why,
                    TimeUnit.NANOSECONDS.toMillis(waitedNanos),
                    waitedFor,
                    (long) load,
                    instance.sequence(),
                    instance.software().map(SoftwareVersion::value).orElse(""),
                    resumes,
                    lastEvent.isPresent() ? lastEvent.getAsLong() : "",
                    customer,
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
                    use.connection(),
                    use.exchange(),
                    leftOut);
        }
    }

    /** Logs an answer to another request, which came in place of the one that is due. */
    void passedOver(Instance instance, ForeignAnswer answer) {
        metrics.answerPassedOver();
        long leftOut = lineBudget.take(LineBudget.Kind.ATTEMPT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "attempt.passed-over id={} instance={} status={} echo={} connection={}"
                            + " exchange={} ageMs={} leftOut={}",
                    id,
                    instance.id(),
                    answer.status(),
                    answer.echo(),
                    answer.use().connection(),
                    answer.use().exchange(),
                    ageMillis(),
                    leftOut);
        }
    }

    void notRun(Instance instance, int status) {
        metrics.attemptEnded(instance.service().value(), "not-run");
        long leftOut = lineBudget.take(LineBudget.Kind.ATTEMPT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "attempt.not-run id={} instance={} status={} connection={} exchange={} ageMs={}"
                            + " leftOut={}",
                    id,
                    instance.id(),
                    status,
                    use.connection(),
                    use.exchange(),
                    ageMillis(),
                    leftOut);
        }
    }

    void attemptFailed(
            Instance instance,
            CallFailure failure,
            Optional<HostId> tunnel,
            OptionalLong lastEvent) {
        String outcome = failure.sent() ? "broke-off" : "unreached";
        metrics.attemptEnded(instance.service().value(), outcome);
        long leftOut = lineBudget.take(LineBudget.Kind.ATTEMPT, BootClock.nanos());
        if (leftOut >= 0) {
            logger.info(
                    "attempt.failed id={} digest={} parts={} instance={} sent={} stage={}"
                            + " through={} reason={} lastEvent={} ageMs={} leftOut={}",
                    id,
                    digest,
                    parts,
                    instance.id(),
                    failure.sent(),
                    failure.stage(),
                    tunnel.map(HostId::value).orElse(""),
                    failure.reason(),
                    lastEvent,
                    ageMillis(),
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
