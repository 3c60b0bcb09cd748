package io.stackhall.server.callers;

import io.stackhall.core.id.RequestId;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.server.upstreams.UpstreamCall;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** Writes an answer or an error to a caller's HTTP response. */
final class ResponseSink implements AnswerSink {

    private static final int OK = 200;
    private static final int REDIRECTION = 300;
    private static final int ERROR = 400;

    private final Response response;
    private final RequestId id;
    private OutputStream out;
    private int status;

    ResponseSink(Request request, Response response, RequestId id) {
        this.response = response;
        this.id = id;
        String answeredId = Forwarding.forwardedId(request).orElse(id.value());
        response.getHeaders().put(UpstreamCall.REQUEST_ID, answeredId);
        if ("HEAD".equals(request.getMethod())) {
            out = OutputStream.nullOutputStream();
        }
    }

    /** Returns the HTTP status, or 0 if no answer has begun. */
    int status() {
        return status;
    }

    void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    @Override
    public void begin(int newStatus, String contentType) throws IOException {
        start(newStatus, contentType);
        if (out == null) {
            out = Content.Sink.asOutputStream(response);
        }
    }

    @Override
    public void write(byte[] bytes, int length) throws IOException {
        out.write(bytes, 0, length);
        out.flush();
    }

    @Override
    public void respond(int newStatus, String contentType, byte[] body) throws IOException {
        if (newStatus < OK || newStatus >= REDIRECTION) {
            setHeader(UpstreamCall.OUTCOME, new RequestOutcome.Ran().header());
        }
        send(newStatus, contentType, body);
    }

    /** Answers with JSON. */
    void respondJson(int newStatus, byte[] body) throws IOException {
        send(newStatus, "application/json", body);
    }

    /**
     * Answers with an error and the time after which to retry.
     *
     * @param retryAfter the time after which to retry, in seconds
     */
    void refuse(int newStatus, String code, String message, RequestOutcome outcome, int retryAfter)
            throws IOException {
        setHeader(UpstreamCall.OUTCOME, outcome.header());
        setHeader(HttpHeader.RETRY_AFTER.asString(), Integer.toString(retryAfter));
        String type = newStatus < 500 ? "invalid_request_error" : "server_error";
        respondJson(newStatus, ErrorBody.of(type, code, message, outcome.header()));
    }

    /** Ends a stream that cannot be completed by an error event, without the end marker. */
    void sendErrorEvent(String message, RequestOutcome outcome) throws IOException {
        byte[] error = ErrorBody.of("server_error", "stream_broken", message, outcome.header());
        String event = "\n\ndata: " + new String(error, StandardCharsets.UTF_8) + "\n\n";
        byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
        write(bytes, bytes.length);
    }

    void end() throws IOException {
        if (out != null) {
            out.close();
        }
    }

    RequestId id() {
        return id;
    }

    boolean isError() {
        return status >= ERROR;
    }

    private void send(int newStatus, String contentType, byte[] body) throws IOException {
        start(newStatus, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        if (out == null) {
            out = Content.Sink.asOutputStream(response);
        }
        out.write(body);
    }

    private void start(int newStatus, String contentType) {
        status = newStatus;
        response.setStatus(newStatus);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }
}
