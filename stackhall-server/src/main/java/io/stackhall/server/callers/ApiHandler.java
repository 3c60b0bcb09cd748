package io.stackhall.server.callers;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Priority;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Neighbours;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.json.Json;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.node.ConfigStore;
import io.stackhall.server.node.UpstreamExchange;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles requests of callers, announcements of upstreams, and the platform's health checks. */
final class ApiHandler extends Handler.Abstract {

    private static final Logger logger = LogManager.getLogger(ApiHandler.class);

    private static final String PLAIN = "text/plain; charset=utf-8";
    private static final String METRICS = "text/plain; version=0.0.4; charset=utf-8";

    private static final Set<String> CHECK_PATHS = Set.of("/healthz", "/readyz", "/metrics");

    private final ConfigStore config;
    private final UpstreamExchange upstreams;
    private final NodeMetrics metrics;
    private final Authenticator authenticator;
    private final RequestReader reader;
    private final RequestRunner runner;
    private final WorkHandler workHandler;
    private final InFlightLimit limit;
    private final BooleanSupplier ready;

    ApiHandler(
            ConfigStore config,
            UpstreamExchange upstreams,
            NodeMetrics metrics,
            RequestReader reader,
            RequestRunner runner,
            WorkHandler workHandler,
            InFlightLimit limit,
            BooleanSupplier ready) {
        this.config = config;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.authenticator = new Authenticator(config);
        this.reader = reader;
        this.runner = runner;
        this.workHandler = workHandler;
        this.limit = limit;
        this.ready = ready;
    }

    /** One model or adapter in the list of models. */
    record ListedModel(String id, String object, String owned_by) {}

    /** The list of models. */
    record ModelList(String object, List<ListedModel> data) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = new RequestId(UUID.randomUUID().toString());
        ResponseSink sink = new ResponseSink(request, response, id);
        boolean exempt = isExemptFromLimit(request);
        Optional<Caller> caller = exempt ? Optional.empty() : authenticator.authenticate(request);
        boolean withinLimit = limit.enter(exempt || isUrgent(caller));
        try {
            if (withinLimit || exempt) {
                dispatch(request, caller, sink);
            } else {
                refuseOverLimit(sink);
            }
            sink.end();
            callback.succeeded();
        } catch (IOException e) {
            logger.debug("request.caller-gone request={} {}", id, e.toString());
            callback.failed(e);
        } catch (RuntimeException e) {
            logger.error("request.failed request={}", id, e);
            respondHostFailed(sink, response, callback);
        } finally {
            limit.leave();
        }
        return true;
    }

    private void dispatch(Request request, Optional<Caller> caller, ResponseSink sink)
            throws IOException {
        boolean announces = CallerServer.UPSTREAM_CONNECTOR.equals(connectorOf(request));
        if (announces) {
            handleAnnouncement(request, sink);
            return;
        }
        switch (request.getHttpURI().getPath()) {
            case "/healthz" -> sink.respond(200, PLAIN, bytes("ok\n"));
            case "/readyz" -> respondReadiness(sink);
            case "/metrics" -> sink.respond(200, METRICS, metrics.scrape());
            default -> handleApi(request, caller, sink);
        }
    }

    /**
     * Health checks and announcements are served beyond the limit, so that a crowd of callers
     * cannot make this host or its upstreams appear unavailable.
     */
    private static boolean isExemptFromLimit(Request request) {
        return CallerServer.UPSTREAM_CONNECTOR.equals(connectorOf(request))
                || CHECK_PATHS.contains(request.getHttpURI().getPath());
    }

    private static boolean isUrgent(Optional<Caller> caller) {
        return caller.filter(known -> known.priority() == Priority.URGENT).isPresent();
    }

    private static void refuseOverLimit(ResponseSink sink) throws IOException {
        String message = "this host works on as many requests as it may";
        sink.refuse(503, "host_full", message, new RequestOutcome.NotRun(message), 1);
    }

    private void handleApi(Request request, Optional<Caller> caller, ResponseSink sink)
            throws IOException {
        if (caller.isEmpty()) {
            logger.warn("request.unauthenticated request={}", sink.id());
            reject(sink, new RequestReader.Rejection(401, "key_wrong", "the key is not known"));
            return;
        }
        String path = request.getHttpURI().getPath();
        if (path.equals("/v1/models")) {
            sink.respondJson(200, Json.write(ModelList.class, models()));
        } else if (path.startsWith(WorkHandler.PATH)) {
            handleWork(request, path.substring(WorkHandler.PATH.length()), caller.get(), sink);
        } else if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
            if (request.getMethod().equals("POST")) {
                handleRequest(request, caller.get(), sink, true);
            } else {
                reject(sink, new RequestReader.Rejection(405, "method", "only POST is served"));
            }
        } else if (path.startsWith("/services/")) {
            handleRequest(request, caller.get(), sink, false);
        } else {
            reject(sink, new RequestReader.Rejection(404, "path", "nothing is served at " + path));
        }
    }

    private void handleRequest(
            Request request, Caller caller, ResponseSink sink, boolean completion)
            throws IOException {
        long start = BootClock.nanos();
        Configuration configuration = config.current();
        Either<RequestReader.Rejection, AcceptedRequest> read =
                reader.readBody(request)
                        .flatMap(
                                body ->
                                        completion
                                                ? reader.readCompletion(
                                                        request, caller, body, configuration)
                                                : reader.readServiceCall(
                                                        request, caller, body, configuration));
        if (read.isLeft()) {
            reject(sink, read.getLeft());
            return;
        }
        AcceptedRequest accepted = read.get();
        Forwarding.forwardedId(request)
                .ifPresent(of -> logger.info("request.forwarded request={} of={}", sink.id(), of));
        boolean deferred = wantsAsync(request);
        RequestOutcome outcome =
                deferred ? workHandler.accept(accepted, sink) : runner.run(accepted, sink);
        long nanos = BootClock.nanos() - start;
        boolean inTime =
                outcome instanceof RequestOutcome.Ran
                        && !sink.isError()
                        && nanos <= accepted.timeoutNanos();
        metrics.requestEnded(caller.priority(), sink.status(), outcome.header(), inTime, nanos);
        metrics.endedUnder(config.current().deployment().policy().active(), inTime);
        logger.info(
                "request.ended request={} caller={} target={} status={} outcome={} millis={}",
                sink.id(),
                caller.id(),
                accepted.target(),
                sink.status(),
                outcome.header(),
                nanos / 1_000_000);
    }

    private void handleWork(Request request, String name, Caller caller, ResponseSink sink)
            throws IOException {
        if (!name.matches("[0-9a-f]{32}")) {
            reject(sink, new RequestReader.Rejection(404, "work_not_found", "no such work"));
            return;
        }
        switch (request.getMethod()) {
            case "GET" -> workHandler.find(name, caller.id(), sink);
            case "DELETE" -> workHandler.cancel(name, caller.id(), sink);
            default ->
                    reject(
                            sink,
                            new RequestReader.Rejection(
                                    405, "method", "only GET and DELETE are served"));
        }
    }

    private void handleAnnouncement(Request request, ResponseSink sink) throws IOException {
        Either<RequestReader.Rejection, byte[]> body = reader.readBody(request);
        if (body.isLeft()) {
            reject(sink, body.getLeft());
            return;
        }
        Announcement announcement;
        try {
            announcement = Json.read(Announcement.class, body.get());
        } catch (RuntimeException e) {
            logger.warn("announcement.malformed {}", e.getMessage());
            reject(sink, new RequestReader.Rejection(400, "announcement", "it is not understood"));
            return;
        }
        if (Neighbours.isNeighbour(announcement.id())) {
            String message = announcement.id() + " is a name kept for hosts";
            reject(sink, new RequestReader.Rejection(400, "announcement", message));
        } else if (upstreams.receiveAnnouncement(announcement)) {
            sink.respondJson(200, bytes("{}"));
        } else {
            reject(
                    sink,
                    new RequestReader.Rejection(
                            421, "zone", "this host does not serve " + announcement.zone()));
        }
    }

    private void respondReadiness(ResponseSink sink) throws IOException {
        boolean isReady = ready.getAsBoolean() && config.current().revision() > 0;
        sink.respond(isReady ? 200 : 503, PLAIN, bytes(isReady ? "ready\n" : "not ready\n"));
    }

    private ModelList models() {
        var deployment = config.current().deployment();
        List<ListedModel> listed = new ArrayList<>();
        deployment.models().forEach(model -> listed.add(listed(model.id().value())));
        deployment.adapters().forEach(adapter -> listed.add(listed(adapter.id().value())));
        return new ModelList("list", listed);
    }

    private static ListedModel listed(String id) {
        return new ListedModel(id, "model", "stackhall");
    }

    private static void reject(ResponseSink sink, RequestReader.Rejection rejection)
            throws IOException {
        sink.refuse(
                rejection.status(),
                rejection.code(),
                rejection.message(),
                new RequestOutcome.NotRun(rejection.message()),
                1);
    }

    /**
     * Answers after an internal error of this host; it is not known whether the request has run.
     */
    private static void respondHostFailed(ResponseSink sink, Response response, Callback callback) {
        RequestOutcome outcome = new RequestOutcome.Unknown("this host has failed");
        try {
            if (response.isCommitted()) {
                throw new IOException("the response has already been committed");
            }
            sink.refuse(500, "host_failed", "this host has failed", outcome, 1);
            sink.end();
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        }
    }

    private static boolean wantsAsync(Request request) {
        String prefer = request.getHeaders().get("Prefer");
        return prefer != null && prefer.contains("respond-async");
    }

    private static String connectorOf(Request request) {
        return request.getConnectionMetaData().getConnector().getName();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
