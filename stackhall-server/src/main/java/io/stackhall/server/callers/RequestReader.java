package io.stackhall.server.callers;

import com.fasterxml.jackson.databind.JsonNode;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.Priority;
import io.stackhall.core.config.ServiceSpec;
import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.routing.Target;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Parses and validates requests of callers. */
final class RequestReader {

    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    static final String REPEATABLE_HEADER = "Stackhall-Repeatable";
    static final String DEADLINE_HEADER = "Stackhall-Deadline-Ms";
    private static final String SERVICES_PREFIX = "/services/";
    private static final long MAX_TIMEOUT_MILLIS = TimeUnit.DAYS.toMillis(1);

    /**
     * How much of a body that is too large is read and discarded. Closing a connection with unread
     * bytes resets it, and the caller may lose the refusal.
     */
    private static final long MAX_DISCARDED_BYTES = 64L << 20;

    private final Settings.Limits limits;

    RequestReader(Settings.Limits limits) {
        this.limits = limits;
    }

    /** The answer to a request that is not accepted. */
    record Rejection(int status, String code, String message) {}

    /** Reads the body, up to the configured limit. */
    Either<Rejection, byte[]> readBody(Request request) {
        int limit = limits.maxBodyBytes();
        Rejection tooLarge =
                new Rejection(413, "body_too_large", "the body exceeds " + limit + " bytes");
        try {
            InputStream in = Content.Source.asInputStream(request);
            byte[] body = request.getLength() > limit ? new byte[0] : in.readNBytes(limit + 1);
            if (request.getLength() <= limit && body.length <= limit) {
                return Either.right(body);
            }
            in.skip(MAX_DISCARDED_BYTES);
            return Either.left(tooLarge);
        } catch (IOException e) {
            return Either.left(new Rejection(400, "body_unreadable", "the body was cut short"));
        }
    }

    /** Reads a request for a model or adapter. */
    Either<Rejection, AcceptedRequest> readCompletion(
            Request request, Caller caller, byte[] body, Configuration configuration) {
        JsonNode json;
        try {
            json = Json.mapper().readTree(body);
        } catch (IOException e) {
            return Either.left(new Rejection(400, "not_json", "the body is not JSON"));
        }
        if (json == null || !json.isObject() || !json.path("model").isTextual()) {
            return Either.left(
                    new Rejection(400, "model_missing", "the body names no model as a string"));
        }
        ModelId model;
        try {
            model = new ModelId(json.get("model").asText());
        } catch (IllegalArgumentException e) {
            return Either.left(new Rejection(400, "model_malformed", e.getMessage()));
        }
        Optional<Boolean> repeatable = repeatable(configuration.deployment(), model);
        if (repeatable.isEmpty()) {
            return Either.left(
                    new Rejection(
                            404,
                            "model_not_found",
                            "no model or adapter is named '" + model + "'"));
        }
        return accepted(
                request,
                caller,
                new Target.Model(model),
                request.getHttpURI().getPath(),
                body,
                json.path("stream").asBoolean(false),
                Digests.prefix(json.path("prompt").asText() + json.path("messages")),
                repeatable.get());
    }

    /** Reads a request for a service. */
    Either<Rejection, AcceptedRequest> readServiceCall(
            Request request, Caller caller, byte[] body, Configuration configuration) {
        String path = request.getHttpURI().getPathQuery();
        String rest = path.substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String name = (slash < 0 ? rest : rest.substring(0, slash)).split("\\?", 2)[0];
        Optional<ServiceSpec> service =
                name.isBlank()
                        ? Optional.empty()
                        : configuration.deployment().service(new ServiceName(name));
        if (service.isEmpty()) {
            return Either.left(
                    new Rejection(404, "service_not_found", "no service is named '" + name + "'"));
        }
        return accepted(
                request,
                caller,
                new Target.Service(service.get().name()),
                path,
                body,
                false,
                0,
                service.get().repeatable());
    }

    private Either<Rejection, AcceptedRequest> accepted(
            Request request,
            Caller caller,
            Target target,
            String path,
            byte[] body,
            boolean streamed,
            long prefix,
            boolean repeatable) {
        Optional<IdempotencyKey> key;
        long deadlineNanos;
        try {
            key =
                    Optional.ofNullable(request.getHeaders().get(IDEMPOTENCY_KEY_HEADER))
                            .map(IdempotencyKey::new);
            deadlineNanos = timeoutNanos(request, caller.priority());
        } catch (IllegalArgumentException e) {
            return Either.left(new Rejection(400, "header_malformed", e.getMessage()));
        }
        boolean markedNotRepeatable = "false".equals(request.getHeaders().get(REPEATABLE_HEADER));
        Map<String, String> headers = new HashMap<>();
        String type = request.getHeaders().get(HttpHeader.CONTENT_TYPE);
        if (type != null) {
            headers.put("Content-Type", type);
        }
        return Either.right(
                new AcceptedRequest(
                        caller,
                        target,
                        request.getMethod(),
                        path,
                        headers,
                        body,
                        streamed,
                        prefix,
                        repeatable && !markedNotRepeatable,
                        key,
                        deadlineNanos,
                        Forwarding.reachOf(request),
                        Optional.ofNullable(request.getHeaders().get(HttpHeader.AUTHORIZATION))));
    }

    private long timeoutNanos(Request request, Priority priority) {
        String text = request.getHeaders().get(DEADLINE_HEADER);
        if (text == null) {
            return defaultTimeout(priority).toNanos();
        }
        if (!text.matches("\\d{1,9}")) {
            throw new IllegalArgumentException(DEADLINE_HEADER + " '" + text + "' is no number");
        }
        long millis = Math.min(MAX_TIMEOUT_MILLIS, Long.parseLong(text));
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private Duration defaultTimeout(Priority priority) {
        return switch (priority) {
            case URGENT -> limits.urgentDeadline();
            case NORMAL -> limits.normalDeadline();
            case DEFERRED -> limits.deferredDeadline();
        };
    }

    private static Optional<Boolean> repeatable(Deployment deployment, ModelId model) {
        Optional<ModelId> base = deployment.adapter(model).map(adapter -> adapter.base());
        return deployment.model(base.orElse(model)).map(spec -> spec.repeatable());
    }
}
