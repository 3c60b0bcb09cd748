package io.stackhall.server.operators;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.stackhall.core.config.Change;
import io.stackhall.core.config.ChangeOutcome;
import io.stackhall.core.config.Finding;
import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.ApplyRequest;
import io.stackhall.rpc.generated.operators.AuditReply;
import io.stackhall.rpc.generated.operators.AuditRequest;
import io.stackhall.rpc.generated.operators.DrainRequest;
import io.stackhall.rpc.generated.operators.MeasuresReply;
import io.stackhall.rpc.generated.operators.MeasuresRequest;
import io.stackhall.rpc.generated.operators.OperatorsGrpc;
import io.stackhall.rpc.generated.operators.RemoveReplicaReply;
import io.stackhall.rpc.generated.operators.RemoveReplicaRequest;
import io.stackhall.rpc.generated.operators.StatusReply;
import io.stackhall.rpc.generated.operators.StatusRequest;
import io.stackhall.rpc.generated.operators.UpstreamsReply;
import io.stackhall.rpc.generated.operators.UpstreamsRequest;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.ControlCommand;
import io.stackhall.server.group.ControlQuery;
import io.stackhall.server.group.ControlResult;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Answers operators. A change is acknowledged once it is committed; a resend gets the same answer.
 */
final class OperatorService extends OperatorsGrpc.OperatorsImplBase {

    private static final Logger logger = LogManager.getLogger(OperatorService.class);

    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final GroupClient groups;
    private final StatusReporter reporter;
    private final MeasuresReporter measures;

    OperatorService(GroupClient groups, StatusReporter reporter, MeasuresReporter measures) {
        this.groups = groups;
        this.reporter = reporter;
        this.measures = measures;
    }

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyReply> observer) {
        Either<List<Finding>, io.stackhall.core.config.Deployment> deployment =
                DeploymentMapper.toCore(request.getDeployment());
        if (deployment.isLeft()) {
            ApplyReply.Builder reply =
                    ApplyReply.newBuilder().setOutcome(ApplyReply.Outcome.INVALID);
            deployment.getLeft().forEach(finding -> reply.addFindings(finding.toString()));
            finish(observer, reply.build());
            return;
        }
        change(
                request.getChangeId(),
                request.getOperator(),
                new Change.ReplaceDeployment(deployment.get(), request.getExpectedRevision()),
                observer);
    }

    @Override
    public void drain(DrainRequest request, StreamObserver<ApplyReply> observer) {
        if (request.getUpstream().isBlank()) {
            refuse(observer, Status.INVALID_ARGUMENT.withDescription("no upstream is named"));
            return;
        }
        change(
                request.getChangeId(),
                request.getOperator(),
                new Change.SetDrain(new UpstreamId(request.getUpstream()), !request.getUndo()),
                observer);
    }

    @Override
    public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
        finish(observer, reporter.status());
    }

    @Override
    public void upstreams(UpstreamsRequest request, StreamObserver<UpstreamsReply> observer) {
        finish(observer, reporter.upstreams());
    }

    @Override
    public void measures(MeasuresRequest request, StreamObserver<MeasuresReply> observer) {
        finish(observer, measures.measures());
    }

    @Override
    public void audit(AuditRequest request, StreamObserver<AuditReply> observer) {
        byte[] question = Json.write(ControlQuery.class, new ControlQuery.ReadAudit());
        switch (groups.query(Settings.CONTROL_GROUP, question, TIMEOUT)) {
            case CommandOutcome.Done(byte[] bytes) ->
                    finish(
                            observer,
                            StatusReporter.encode(Json.read(ControlState.AuditTrail.class, bytes)));
            case CommandOutcome.Refused(String reason) ->
                    refuse(observer, Status.UNAVAILABLE.withDescription(reason));
            case CommandOutcome.Unknown(String reason) ->
                    refuse(observer, Status.UNAVAILABLE.withDescription(reason));
        }
    }

    @Override
    public void removeReplica(
            RemoveReplicaRequest request, StreamObserver<RemoveReplicaReply> observer) {
        CommandOutcome outcome = reporter.removeReplica(request.getGroup(), request.getHost());
        RemoveReplicaReply.Builder reply = RemoveReplicaReply.newBuilder();
        switch (outcome) {
            case CommandOutcome.Done ignored -> reply.setRemoved(true);
            case CommandOutcome.Refused(String reason) -> reply.setReason(reason);
            case CommandOutcome.Unknown(String reason) -> reply.setReason("unknown: " + reason);
        }
        finish(observer, reply.build());
    }

    private void change(
            String id, String operator, Change.Body body, StreamObserver<ApplyReply> observer) {
        String name = id.isBlank() ? UUID.randomUUID().toString() : id;
        Change change = new Change(new ChangeId(name), operator, System.currentTimeMillis(), body);
        byte[] command =
                Json.write(ControlCommand.class, new ControlCommand.ChangeConfiguration(change));
        switch (groups.command(Settings.CONTROL_GROUP, command, TIMEOUT)) {
            case CommandOutcome.Done(byte[] bytes) -> {
                ChangeOutcome outcome = decode(bytes);
                logger.info(
                        "audit.change id={} operator={} verdict={} revision={}",
                        name,
                        operator,
                        outcome.verdict(),
                        outcome.revision());
                finish(observer, encode(outcome));
            }
            case CommandOutcome.Refused(String reason) ->
                    refuse(observer, Status.UNAVAILABLE.withDescription("not applied: " + reason));
            case CommandOutcome.Unknown(String reason) ->
                    refuse(
                            observer,
                            Status.DEADLINE_EXCEEDED.withDescription(
                                    "may be applied; send it again with change id "
                                            + name
                                            + ": "
                                            + reason));
        }
    }

    private static ChangeOutcome decode(byte[] bytes) {
        return switch (Json.read(ControlResult.class, bytes)) {
            case ControlResult.ConfigurationChanged(ChangeOutcome outcome) -> outcome;
            case ControlResult.WorkChanged ignored ->
                    throw new IllegalStateException("a configuration was answered as work");
        };
    }

    private static ApplyReply encode(ChangeOutcome outcome) {
        ApplyReply.Outcome verdict =
                switch (outcome.verdict()) {
                    case ACCEPTED -> ApplyReply.Outcome.ACCEPTED;
                    case REVISION_MISMATCH -> ApplyReply.Outcome.REVISION_MISMATCH;
                    case INVALID -> ApplyReply.Outcome.INVALID;
                };
        ApplyReply.Builder reply =
                ApplyReply.newBuilder().setOutcome(verdict).setRevision(outcome.revision());
        outcome.findings().forEach(finding -> reply.addFindings(finding.toString()));
        return reply.build();
    }

    private static <T> void finish(StreamObserver<T> observer, T reply) {
        observer.onNext(reply);
        observer.onCompleted();
    }

    private static void refuse(StreamObserver<?> observer, Status status) {
        observer.onError(status.asRuntimeException());
    }
}
