package io.stackhall.server.callers;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.WorkId;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.outcome.StoredAnswer;
import io.stackhall.core.outcome.WorkCommand;
import io.stackhall.core.outcome.WorkItem;
import io.stackhall.core.outcome.WorkResult;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.ControlQuery;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;

/** Accepts deferred work, reports its progress and answer, and cancels it. */
final class WorkHandler {

    /** The path prefix of accepted work. */
    static final String PATH = "/v1/work/";

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int POLL_SECONDS = 2;

    private final GroupClient groups;
    private final WorkClient client;

    WorkHandler(GroupClient groups) {
        this.groups = groups;
        this.client = new WorkClient(groups);
    }

    /** The progress of accepted work, as it is written to the caller. */
    record Progress(String id, String status, int attempts) {}

    /** Accepts work. The answer is 202 only after a quorum of hosts has written it to disk. */
    RequestOutcome accept(AcceptedRequest request, ResponseSink response) throws IOException {
        WorkId id = workId(request, response);
        Priority priority = request.caller().priority();
        WorkCommand.Accept accept =
                new WorkCommand.Accept(
                        id,
                        request.caller().id(),
                        priority == Priority.NORMAL ? Priority.DEFERRED : priority,
                        new WorkItem.Request(request.path(), request.body()),
                        request.repeatable());
        CommandOutcome outcome = client.send(accept, TIMEOUT);
        return switch (outcome) {
            case CommandOutcome.Done(byte[] bytes) -> accepted(id, bytes, response);
            case CommandOutcome.Refused(String reason) ->
                    refuse(
                            response,
                            "work cannot be kept now: " + reason,
                            request.key().isEmpty()
                                    ? new RequestOutcome.NotRun(reason)
                                    : new RequestOutcome.Unknown(reason));
            case CommandOutcome.Unknown(String reason) ->
                    refuse(
                            response,
                            "whether the work is kept is not known; send it again with its key",
                            new RequestOutcome.Unknown(reason));
        };
    }

    /** Answers with the progress of a work item, or with its stored answer. */
    void find(String name, CustomerId caller, ResponseSink response) throws IOException {
        byte[] query = Json.write(ControlQuery.class, new ControlQuery.FindWork(new WorkId(name)));
        switch (groups.query(Settings.CONTROL_GROUP, query, TIMEOUT)) {
            case CommandOutcome.Done(byte[] bytes) -> {
                Optional<WorkItem> item =
                        Json.read(ControlState.FoundWork.class, bytes).items().stream()
                                .filter(found -> found.caller().equals(caller))
                                .findFirst();
                respondItem(name, item, response);
            }
            case CommandOutcome.Refused(String reason) ->
                    refuse(response, reason, new RequestOutcome.Unknown(reason));
            case CommandOutcome.Unknown(String reason) ->
                    refuse(response, reason, new RequestOutcome.Unknown(reason));
        }
    }

    /** Cancels a work item that has not started to run. */
    void cancel(String name, CustomerId caller, ResponseSink response) throws IOException {
        WorkCommand.Cancel cancel = new WorkCommand.Cancel(new WorkId(name), caller);
        switch (client.send(cancel, TIMEOUT)) {
            case CommandOutcome.Done(byte[] bytes) -> {
                boolean done = WorkClient.decode(bytes) instanceof WorkResult.Done;
                if (done) {
                    respondProgress(200, new Progress(name, "cancelled", 0), response);
                } else {
                    String message = "it is not known, or has begun to run";
                    response.refuse(
                            409,
                            "not_cancelled",
                            message,
                            new RequestOutcome.Unknown(message),
                            POLL_SECONDS);
                }
            }
            case CommandOutcome.Refused(String reason) ->
                    refuse(response, reason, new RequestOutcome.Unknown(reason));
            case CommandOutcome.Unknown(String reason) ->
                    refuse(response, reason, new RequestOutcome.Unknown(reason));
        }
    }

    private static RequestOutcome accepted(WorkId id, byte[] bytes, ResponseSink response)
            throws IOException {
        if (WorkClient.decode(bytes) instanceof WorkResult.Kept(WorkItem item)) {
            response.setHeader("Location", PATH + id);
            response.setHeader("Preference-Applied", "respond-async");
            respondProgress(202, progress(item), response);
            return new RequestOutcome.NotRun("accepted");
        }
        String reason = "as much work is kept as may be";
        return refuse(response, reason, new RequestOutcome.NotRun(reason));
    }

    private static void respondItem(String name, Optional<WorkItem> item, ResponseSink response)
            throws IOException {
        if (item.isEmpty()) {
            response.refuse(
                    404,
                    "work_not_found",
                    "no work is named '" + name + "'",
                    new RequestOutcome.Unknown("not kept, or kept no more"),
                    POLL_SECONDS);
            return;
        }
        if (item.get().answer().isPresent()) {
            StoredAnswer answer = item.get().answer().get();
            response.respond(answer.status(), answer.contentType(), answer.body());
            return;
        }
        boolean ended = item.get().progress().ended();
        if (!ended) {
            response.setHeader("Retry-After", Integer.toString(POLL_SECONDS));
        }
        respondProgress(ended ? 200 : 202, progress(item.get()), response);
    }

    private static void respondProgress(int status, Progress progress, ResponseSink response)
            throws IOException {
        response.respondJson(status, Json.write(Progress.class, progress));
    }

    private static Progress progress(WorkItem item) {
        String status =
                switch (item.progress()) {
                    case WAITING -> "waiting";
                    case RUNNING -> "running";
                    case ANSWERED -> "answered";
                    case UNCERTAIN -> "unknown";
                    case CANCELLED -> "cancelled";
                };
        return new Progress(item.id().value(), status, item.attempts());
    }

    private static RequestOutcome refuse(
            ResponseSink response, String message, RequestOutcome outcome) throws IOException {
        response.refuse(503, "work_unavailable", message, outcome, POLL_SECONDS);
        return outcome;
    }

    /**
     * Derives the id from the caller and its key, so that a repeated request finds the same work.
     */
    private static WorkId workId(AcceptedRequest request, ResponseSink response) {
        String name = request.key().map(IdempotencyKey::value).orElse(response.id().value());
        byte[] digest =
                Digests.sha256(
                        request.caller().id().value().getBytes(StandardCharsets.UTF_8),
                        name.getBytes(StandardCharsets.UTF_8));
        return new WorkId(HexFormat.of().formatHex(digest, 0, 16));
    }
}
