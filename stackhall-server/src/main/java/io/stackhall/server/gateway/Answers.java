package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.platform.Headers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/** Creates the HTTP responses that callers receive. */
final class Answers {

    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final long MILLIS_PER_HUNDREDTH = 10;
    private static final long HUNDREDTHS = 100;
    private static final byte[] OVERLOADED =
            "{\"error\":\"this host is overloaded\"}".getBytes(StandardCharsets.US_ASCII);

    /** Headers that are not relayed: hop-by-hop headers, and those that this host sets itself. */
    private static final List<CharSequence> CONNECTION_HEADERS =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT,
                    "Proxy-Connection");

    private Answers() {}

    /** Returns an error answer that does not come from an upstream. */
    static FullHttpResponse failure(HttpResponseStatus status, String reason, String requestId) {
        byte[] body =
                ("{\"error\":\"" + reason.replace('"', '\'') + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (!requestId.isEmpty()) {
            response.headers().set(Headers.REQUEST_ID, requestId);
        }
        return response;
    }

    /** Returns an error answer with Retry-After for a request that has not run. */
    static FullHttpResponse refusal(
            HttpResponseStatus status, String reason, String requestId, Duration retryAfter) {
        FullHttpResponse response = failure(status, reason, requestId);
        double seconds = retryAfter.toMillis() / MILLIS_PER_SECOND;
        response.headers().set(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
        return response;
    }

    /**
     * Returns the refusal of a request by an overloaded host. Its cost matters more than that of
     * others, so nothing is formatted. The retry delay is rounded down, to stay below its maximum.
     */
    static FullHttpResponse overloaded(String requestId, Duration retryAfter) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.wrappedBuffer(OVERLOADED));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (!requestId.isEmpty()) {
            response.headers().set(Headers.REQUEST_ID, requestId);
        }
        long hundredths = retryAfter.toMillis() / MILLIS_PER_HUNDREDTH;
        long fraction = hundredths % HUNDREDTHS;
        String seconds = hundredths / HUNDREDTHS + (fraction < 10 ? ".0" : ".") + fraction;
        response.headers().set(Headers.RETRY_AFTER, seconds);
        return response;
    }

    /** Tells the caller whether its connection stays open after an answer. */
    static void setConnection(HttpResponse response, boolean staysOpen) {
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        staysOpen ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }

    /** Returns whether an upstream reports that it has not run the request. */
    static boolean reportsNotRun(HttpResponse head) {
        return head.headers().contains(Headers.NOT_RUN)
                || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    /** Returns whether callers interpret a status as a promise that their request has not run. */
    static boolean impliesNotRun(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /** Returns whether the body of an answer is a stream of events, as far as its head tells. */
    static boolean isEventStream(HttpResponse head) {
        CharSequence type = HttpUtil.getMimeType(head);
        return type == null || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
    }

    /**
     * Returns whether an answer has no body, though its length may say something of one that the
     * caller has already or would get with another method.
     */
    static boolean hasNoBody(boolean toHead, HttpResponseStatus status) {
        return toHead || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /**
     * Returns an upstream's answer with its full body, without hop-by-hop headers. One that has no
     * body keeps the length that it names.
     */
    static FullHttpResponse full(HttpMethod method, HttpResponse head, ByteBuf body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body);
        copyHeaders(head.headers(), response.headers());
        String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (hasNoBody(method.equals(HttpMethod.HEAD), head.status()) && length != null) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return response;
    }

    /** Returns the head of an upstream's answer, without hop-by-hop headers. */
    static HttpResponse head(HttpResponse head) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        copyHeaders(head.headers(), response.headers());
        return response;
    }

    /** Copies headers except hop-by-hop ones, which include those that Connection lists. */
    static void copyHeaders(HttpHeaders from, HttpHeaders to) {
        to.add(from);
        for (String named : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",", -1)) {
                if (!name.isBlank()) {
                    to.remove(name.strip());
                }
            }
        }
        CONNECTION_HEADERS.forEach(to::remove);
    }
}
