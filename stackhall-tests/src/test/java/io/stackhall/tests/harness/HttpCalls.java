package io.stackhall.tests.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP calls as a caller makes them. */
public final class HttpCalls {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private HttpCalls() {}

    /** Gets a page. */
    public static Reply get(String url) {
        return send(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build());
    }

    /** Posts JSON with headers, given as names and values in turn. */
    public static Reply post(String url, String json, String... headers) {
        return send(request(url, json, headers));
    }

    /** Posts JSON without waiting for the answer. */
    public static CompletableFuture<Reply> postAsync(String url, String json, String... headers) {
        return CLIENT.sendAsync(request(url, json, headers), HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpCalls::reply);
    }

    /** Asks a model for an answer. */
    public static Reply complete(String url, String model, String user, String... headers) {
        return post(url + "/v1/chat/completions", body(model, user, false, 4), headers);
    }

    /** Returns the body of a request to a model. */
    public static String body(String model, String user, boolean stream, int tokens) {
        return "{\"model\":\"%s\",\"user\":\"%s\",\"stream\":%s,\"max_tokens\":%d}"
                .formatted(model, user, stream, tokens);
    }

    private static HttpRequest request(String url, String json, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(json));
        for (int at = 0; at < headers.length; at += 2) {
            request.header(headers[at], headers[at + 1]);
        }
        return request.build();
    }

    private static Reply send(HttpRequest request) {
        try {
            return reply(CLIENT.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static Reply reply(HttpResponse<String> response) {
        return new Reply(response.statusCode(), response.headers(), response.body());
    }
}
