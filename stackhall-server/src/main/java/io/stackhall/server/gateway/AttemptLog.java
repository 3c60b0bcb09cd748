package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.WaitReason;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.quarantine.PromptPartDigest;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineBudget;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.ConnectionUse;
import io.stackhall.server.relay.ForeignAnswer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs the attempts to run one request at instances, and counts them in the metrics. A line is left
 * out if its kind has used up its {@link LineBudget}.
 */
final class AttemptLog {

    private static final Logger logger = LogManager.getLogger(AttemptLog.class);

    private final LineBudget lineBudget;
    private final FleetMetrics metrics;
    private final String id;
    private final RequestDigest digest;
    private final String parts;
    private final long arrivedAt;
    private final String resumes;
    private String customer = "";
    private ConnectionUse use = ConnectionUse.NONE;

    AttemptLog(Gateway gateway, CallerRequest request, RequestFingerprint fingerprint) {
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

    /** Sets the id of the customer that the request belongs to, empty for none. */
    void setCustomer(String holder) {
        customer = holder;
    }

    /** Records which connection brings the answer that has begun. */
    void answerBegun(ConnectionUse place) {
        use = place;
    }

    /** Returns which connection has brought the latest answer. */
    ConnectionUse use() {
        return use;
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

    /** Logs that an instance says that it has not run the request. */
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

    /** Logs that an instance broke off or was not reached. */
    void failed(
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

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - arrivedAt);
    }
}
