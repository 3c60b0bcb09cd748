package io.stackhall.server.callers;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.ModelSpec;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.outcome.StoredAnswer;
import io.stackhall.core.outcome.WorkCommand;
import io.stackhall.core.outcome.WorkItem;
import io.stackhall.core.outcome.WorkResult;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.Target;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.json.Json;
import io.stackhall.server.node.ConfigStore;
import io.stackhall.server.settings.Settings;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs deferred work: a few items at a time on each entry host, behind all requests with a waiting
 * caller unless an urgent caller has sent the work.
 */
public final class WorkRunner implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(WorkRunner.class);

    private static final int PARALLEL_RUNS = 2;
    private static final long IDLE_MILLIS = 500;
    private static final Duration TAKE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration END_TIMEOUT = Duration.ofMinutes(2);
    private static final String SERVICES_PREFIX = "/services/";

    private final Settings settings;
    private final ConfigStore config;
    private final WorkClient client;
    private final RequestRunner runner;
    private final String tokenPrefix;
    private final AtomicLong nextToken = new AtomicLong();
    private volatile boolean closed;

    WorkRunner(
            Settings settings,
            ConfigStore config,
            GroupClient groups,
            RequestRunner runner,
            long process) {
        this.settings = settings;
        this.config = config;
        this.client = new WorkClient(groups);
        this.runner = runner;
        this.tokenPrefix = settings.host() + "/" + Long.toHexString(process) + "/w";
    }

    /** Starts the threads that take and run work. */
    public void start() {
        for (int index = 0; index < PARALLEL_RUNS; index++) {
            Thread.ofVirtual().name("work-" + index).start(this::loop);
        }
    }

    /** Stops taking work; work that is running continues to its end. */
    @Override
    public void close() {
        closed = true;
    }

    private void loop() {
        while (!closed) {
            try {
                if (config.current().revision() == 0 || !takeAndRun()) {
                    Thread.sleep(IDLE_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                logger.error("work.failed {}", e.toString(), e);
            }
        }
    }

    private boolean takeAndRun() {
        AttemptToken token = new AttemptToken(tokenPrefix + nextToken.incrementAndGet());
        CommandOutcome taken = client.send(new WorkCommand.Take(token), TAKE_TIMEOUT);
        return switch (taken) {
            case CommandOutcome.Done(byte[] bytes) -> {
                if (WorkClient.decode(bytes) instanceof WorkResult.Taken(WorkItem item)) {
                    run(item, token);
                    yield true;
                }
                yield false;
            }
            case CommandOutcome.Refused ignored -> false;
            case CommandOutcome.Unknown ignored -> {
                recoverLostTake(token);
                yield false;
            }
        };
    }

    /**
     * Runs the work that a take command with an unknown outcome may have assigned. Repeating the
     * command with the same token returns that work.
     */
    private void recoverLostTake(AttemptToken token) {
        CommandOutcome again = client.send(new WorkCommand.Take(token), END_TIMEOUT);
        if (again instanceof CommandOutcome.Done(byte[] bytes)
                && WorkClient.decode(bytes) instanceof WorkResult.Taken(WorkItem item)) {
            run(item, token);
        }
    }

    private void run(WorkItem item, AttemptToken token) {
        Optional<Target> target = target(item.request());
        if (target.isEmpty()) {
            byte[] body = ErrorBody.of("server_error", "gone", "it is not deployed", "not-run");
            StoredAnswer answer = new StoredAnswer(404, "application/json", body, true);
            end(new WorkCommand.Finish(item.id(), token, answer));
            return;
        }
        AcceptedRequest request =
                new AcceptedRequest(
                        new Caller(item.caller(), item.priority()),
                        target.get(),
                        "POST",
                        item.request().target(),
                        Map.of("Content-Type", "application/json"),
                        item.request().body(),
                        false,
                        0,
                        item.repeatable(),
                        Optional.empty(),
                        settings.limits().deferredDeadline().toNanos(),
                        Reach.ALL_ZONES,
                        Optional.empty());
        AnswerRecorder recorder = new AnswerRecorder(AnswerSink.discarding());
        RequestId id = new RequestId("work-" + item.id() + "-" + item.attempts());
        ExecutionResult result = runner.execute(request, id, recorder);
        logger.info("work.ran id={} outcome={}", item.id(), result.outcome().header());
        end(
                switch (result.outcome()) {
                    case RequestOutcome.Ran() ->
                            new WorkCommand.Finish(item.id(), token, recorder.answer());
                    case RequestOutcome.NotRun ignored -> new WorkCommand.PutBack(item.id(), token);
                    case RequestOutcome.Unknown ignored -> new WorkCommand.Lose(item.id(), token);
                });
    }

    private void end(WorkCommand command) {
        CommandOutcome outcome = client.send(command, END_TIMEOUT);
        if (!(outcome instanceof CommandOutcome.Done)) {
            logger.warn(
                    "work.not-ended command={} {}", command.getClass().getSimpleName(), outcome);
        }
    }

    private Optional<Target> target(WorkItem.Request request) {
        Configuration current = config.current();
        String path = request.target();
        if (path.startsWith(SERVICES_PREFIX)) {
            String name = path.substring(SERVICES_PREFIX.length()).split("[/?]", 2)[0];
            return current.deployment()
                    .service(new ServiceName(name))
                    .map(service -> new Target.Service(service.name()));
        }
        try {
            ModelId model =
                    new ModelId(Json.mapper().readTree(request.body()).path("model").asText());
            boolean deployed =
                    current.deployment().model(model).map(ModelSpec::id).isPresent()
                            || current.deployment().adapter(model).isPresent();
            return deployed ? Optional.of(new Target.Model(model)) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
