package io.stackhall.server.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.stackhall.server.json.Json;
import io.stackhall.server.upstreams.OrderMessage;
import io.stackhall.server.upstreams.UpstreamCall;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Answers as a model engine or plain service would. */
final class StandInHandler extends Handler.Abstract {

    private static final int QUEUE_FACTOR = 4;

    private final StandInOptions options;
    private final StandInMemory memory;
    private final StandInRuns runs;
    private final StandInStreams streams = new StandInStreams();
    private final Runnable announceNow;

    StandInHandler(
            StandInOptions options, StandInMemory memory, StandInRuns runs, Runnable announceNow) {
        this.options = options;
        this.memory = memory;
        this.runs = runs;
        this.announceNow = announceNow;
    }

    /** What tests ask about. */
    record State(Map<String, Integer> runsByUser, int runs, StandInMemory.Counts memory) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String id = request.getHeaders().get(UpstreamCall.REQUEST_ID);
        if (id != null) {
            response.getHeaders().put(UpstreamCall.REQUEST_ID, id);
        }
        try {
            answer(request, response);
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            callback.failed(e);
        }
        return true;
    }

    private void answer(Request request, Response response)
            throws IOException, InterruptedException {
        String path = request.getHttpURI().getPath();
        byte[] body = Content.Source.asInputStream(request).readAllBytes();
        if (path.equals("/orders")) {
            order(body, response);
        } else if (path.equals("/test/state")) {
            State state = new State(runs.byUser(), runs.total(), memory.counts());
            json(response, 200, Json.write(State.class, state));
        } else if (path.startsWith("/streams/")) {
            resume(request, path.substring("/streams/".length()), response);
        } else if (path.startsWith("/services/")) {
            service(request, body, response);
        } else {
            complete(body, response);
        }
    }

    private void order(byte[] body, Response response) throws IOException, InterruptedException {
        OrderMessage order = Json.read(OrderMessage.class, body);
        OrderMessage.Answer answer = memory.carryOut(order);
        announceNow.run();
        json(
                response,
                answer.carriedOut() ? 200 : 409,
                Json.write(OrderMessage.Answer.class, answer));
    }

    private void service(Request request, byte[] body, Response response)
            throws IOException, InterruptedException {
        String user = request.getHeaders().get("X-User");
        if (!runs.begin(user == null ? "" : user, options.slots() * QUEUE_FACTOR)) {
            decline(response, "busy");
            return;
        }
        try {
            Thread.sleep(options.firstTokenMillis());
            String text =
                    "{\"method\":\"%s\",\"path\":\"%s\",\"bytes\":%d}"
                            .formatted(
                                    request.getMethod(),
                                    request.getHttpURI().getPathQuery(),
                                    body.length);
            json(response, 200, bytes(text));
        } finally {
            runs.end();
        }
    }

    private void complete(byte[] body, Response response) throws IOException, InterruptedException {
        JsonNode json = Json.mapper().readTree(body);
        String model = json.path("model").asText();
        if (!memory.holds(model)) {
            decline(response, "not resident");
            return;
        }
        if (!runs.begin(json.path("user").asText(), options.slots() * QUEUE_FACTOR)) {
            decline(response, "busy");
            return;
        }
        int tokens = json.path("max_tokens").asInt(options.tokens());
        if (json.path("stream").asBoolean()) {
            stream(model, tokens, response);
            return;
        }
        try {
            Thread.sleep(options.firstTokenMillis() + options.tokenMillis() * tokens);
            json(response, 200, bytes(StandInText.whole(model, tokens)));
        } finally {
            runs.end();
        }
    }

    /** Generates on a thread of its own, so that a broken connection can be resumed. */
    private void stream(String model, int tokens, Response response)
            throws IOException, InterruptedException {
        String id = UUID.randomUUID().toString();
        StandInStreams.Stream stream = streams.create(id);
        Thread.ofVirtual().start(() -> generate(id, stream, model, tokens));
        response.getHeaders().put(UpstreamCall.STREAM, id);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        try (OutputStream out = Content.Sink.asOutputStream(response)) {
            StandInStreams.copy(stream, 0, out);
        }
    }

    private void generate(String id, StandInStreams.Stream stream, String model, int tokens) {
        try {
            Thread.sleep(options.firstTokenMillis());
            for (int at = 0; at < tokens; at++) {
                stream.add(StandInText.event(model, at));
                Thread.sleep(options.tokenMillis());
            }
            stream.add(StandInText.END);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            stream.end();
            runs.end();
            removeLater(id);
        }
    }

    private void removeLater(String id) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                Thread.sleep(30_000);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            streams.remove(id);
                        });
    }

    private void resume(Request request, String id, Response response)
            throws IOException, InterruptedException {
        StandInStreams.Stream stream = streams.find(id);
        if (stream == null) {
            json(response, 404, bytes("{}"));
            return;
        }
        Fields query = Request.extractQueryParameters(request);
        int offset = Integer.parseInt(query.getValue("offset"));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        try (OutputStream out = Content.Sink.asOutputStream(response)) {
            StandInStreams.copy(stream, offset, out);
        }
    }

    private static void decline(Response response, String reason) throws IOException {
        response.getHeaders().put(UpstreamCall.OUTCOME, "not-run");
        json(response, 503, bytes("{\"error\":\"" + reason + "\"}"));
    }

    private static void json(Response response, int status, byte[] body) throws IOException {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream out = Content.Sink.asOutputStream(response)) {
            out.write(body);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
