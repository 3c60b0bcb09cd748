package io.stackhall.server.upstreams;

import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.answer.StatusLine;
import java.io.InputStream;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/** One attempt of a request on an upstream. */
public final class UpstreamCall {

    /** The header by which attempts are matched with their answers. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The header by which an upstream says that it has not run a request. */
    public static final String OUTCOME = "Stackhall-Outcome";

    /** The header by which an upstream names a stream that can be resumed. */
    public static final String STREAM = "Stackhall-Stream";

    private static final String NOT_RUN = "not-run";
    private static final String UNKNOWN = "unknown";

    /**
     * The client keeps the connections of requests with different tags apart, so that one which is
     * closed after its answer is a new one as well.
     */
    static final String OWN_CONNECTION = "own-connection";

    private final UpstreamRequest message;
    private final String attemptId;
    private final Request request;
    private final InputStreamResponseListener listener = new InputStreamResponseListener();
    private final AtomicBoolean begun = new AtomicBoolean();

    /**
     * Creates a call that is not sent yet.
     *
     * @param attempt a number that no other call of the client has
     */
    UpstreamCall(
            HttpClient client,
            String address,
            UpstreamRequest message,
            long attempt,
            long idleMillis) {
        this.message = message;
        this.attemptId = message.id().value() + "." + attempt;
        this.request =
                client.newRequest("http://" + address + message.path())
                        .method(message.method())
                        .idleTimeout(idleMillis, TimeUnit.MILLISECONDS)
                        .onRequestBegin(ignored -> begun.set(true));
        request.headers(
                headers -> {
                    headers.put(REQUEST_ID, attemptId);
                    message.headers().forEach(headers::put);
                    if (!message.shared()) {
                        headers.put(HttpHeader.CONNECTION, "close");
                    }
                });
        if (!message.shared()) {
            request.tag(OWN_CONNECTION);
        }
        if (message.body().length > 0) {
            String type = message.headers().getOrDefault("Content-Type", "application/json");
            request.body(new BytesRequestContent(type, message.body()));
        }
    }

    /** The beginning of an answer, or why there is none. */
    public sealed interface Opening {
        /** No byte of the request was handed to a connection. */
        record NotSent(String reason) implements Opening {}

        /** The upstream says that it has not run the request, and is too busy for it. */
        record Declined() implements Opening {}

        /** The request may have been run, but no answer of its own came, or none that is whole. */
        record Unanswered(String reason) implements Opening {}

        /**
         * The answer has begun.
         *
         * @param status HTTP status
         * @param contentType media type of the body
         * @param stream names a stream that can be resumed, or empty
         * @param body the body; reading fails where it is cut short
         */
        record Begun(int status, String contentType, String stream, InputStream body)
                implements Opening {}
    }

    /** Sends the request and waits for the head of the answer. */
    public Opening open(long timeoutMillis) {
        try {
            request.send(listener);
            Response response = listener.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return opening(response);
        } catch (RuntimeException e) {
            // The client throws so where the connection ends while it writes on it.
            abort(e.toString());
            return failure(e.toString());
        } catch (TimeoutException e) {
            abort("no answer in time");
            return failure("no answer within " + timeoutMillis + " ms");
        } catch (ExecutionException e) {
            return failure(String.valueOf(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort("interrupted");
            return failure("interrupted");
        }
    }

    /** Gives the attempt up, so that the upstream can cancel it. */
    public void abort(String reason) {
        request.abort(new IllegalStateException(reason));
    }

    private Opening opening(Response response) {
        List<String> echoes = response.getHeaders().getValuesList(REQUEST_ID);
        if (!belongsHere(echoes)) {
            abort("crossed answer");
            return new Opening.Unanswered("an answer to " + echoes + " came instead");
        }
        if (mayJoinAnswers(response)) {
            abort("joined answers");
            return new Opening.Unanswered("the head holds the status line of another answer");
        }
        if (!isReadable(response)) {
            abort("unreadable answer");
            return new Opening.Unanswered("the answer is in another protocol or coding");
        }
        if (NOT_RUN.equals(response.getHeaders().get(OUTCOME))) {
            abort("declined");
            return new Opening.Declined();
        }
        if (UNKNOWN.equals(response.getHeaders().get(OUTCOME))) {
            abort("unknown");
            return new Opening.Unanswered("it does not know whether the request has run");
        }
        String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        String stream = response.getHeaders().get(STREAM);
        return new Opening.Begun(
                response.getStatus(),
                type == null ? "application/octet-stream" : type,
                stream == null ? "" : stream,
                new AnswerInput(listener.getInputStream()));
    }

    private static boolean isReadable(Response response) {
        return StatusLine.isStatus(response.getStatus())
                && response.getVersion().getVersion() <= HttpVersion.HTTP_1_1.getVersion()
                && response.getStatus() != HttpStatus.SWITCHING_PROTOCOLS_101
                && BodyFraming.isReadable(
                        response.getHeaders().getValuesList(HttpHeader.TRANSFER_ENCODING));
    }

    /** The copy of an earlier answer may be cut within its head, before the answer that is due. */
    private boolean mayJoinAnswers(Response response) {
        return message.shared()
                && Stream.concat(
                                Stream.ofNullable(response.getReason()),
                                response.getHeaders().stream().map(HttpField::getValue))
                        .filter(Objects::nonNull)
                        .anyMatch(StatusLine::isWithin);
    }

    /** An answer that names no attempt may follow any request that its connection has carried. */
    private boolean belongsHere(List<String> echoes) {
        return echoes.isEmpty() ? !message.shared() : echoes.stream().allMatch(attemptId::equals);
    }

    private Opening failure(String reason) {
        return begun.get() ? new Opening.Unanswered(reason) : new Opening.NotSent(reason);
    }
}
