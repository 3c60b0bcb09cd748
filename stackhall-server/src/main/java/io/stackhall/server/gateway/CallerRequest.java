package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.core.customer.KeyDigest;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.PromptPart;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.platform.Headers;
import io.stackhall.platform.RequestHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A caller's request as received; of a target that is a whole URI, the path is left, and the
 * authority has become the Host header.
 *
 * @param method its HTTP method
 * @param target its path and query
 * @param headers its headers
 * @param body its complete body
 * @param arrivedAt when its head had been received, in nanoseconds of {@code BootClock}
 */
record CallerRequest(
        HttpMethod method, String target, HttpHeaders headers, byte[] body, long arrivedAt) {

    /** Returns the request id that the caller has set, or an empty string. */
    String id() {
        return RequestHeaders.requestId(headers::get);
    }

    /**
     * Returns the id of the attempt that brought the first event of a stream, if the caller takes
     * that stream up with this request.
     */
    Optional<String> resumedId() {
        return Optional.ofNullable(headers.get(Headers.RESUMES)).filter(id -> !id.isBlank());
    }

    /** Returns the id of the last event that the caller has of the stream that it takes up. */
    OptionalLong lastEventId() {
        return RequestHeaders.lastEventId(headers::get);
    }

    /** Returns whether the caller takes up a stream of which it has events. */
    boolean takesUpStream() {
        return resumedId().isPresent() || headers.contains(Headers.LAST_EVENT_ID);
    }

    /** Returns the value of the Host header, or an empty string. */
    String authority() {
        return headers.get(HttpHeaderNames.HOST, "");
    }

    /** Computes by what this request, and others like it, are recognized. */
    RequestFingerprint fingerprint() {
        RequestDigest digest = RequestDigest.of(method.name(), authority(), target, body);
        List<PromptPart> parts = RequestHeaders.prompt(headers::get).parts();
        return RequestFingerprint.of(digest, parts.stream().map(PromptPart::id).toList());
    }

    /** Returns the digests of the customer keys in its Authorization headers. */
    List<KeyDigest> keyDigests() {
        return RequestHeaders.keys(headers.getAll(Headers.AUTHORIZATION));
    }

    /** Returns the tokens of its prompt plus the maximum of its answer; an absent count is 0. */
    int tokenCount() {
        RequestHeaders.Prompt prompt = RequestHeaders.prompt(headers::get);
        return prompt.promptTokens() + prompt.answerTokens();
    }

    /** Returns the caller's deadline in milliseconds from arrival, if it has set one. */
    OptionalLong deadlineMillis() {
        return RequestHeaders.deadlineMillis(headers::get);
    }

    /**
     * Returns its requirements on an instance of a service: model, adapter and prompt size.
     *
     * @param rank its urgency, 0 being the most urgent
     */
    Need need(ServiceName service, int rank) {
        RequestHeaders.Prompt prompt = RequestHeaders.prompt(headers::get);
        Optional<String> model = prompt.model();
        List<PromptPart> parts = prompt.parts();
        return new Need(
                service,
                model.map(ModelId::new),
                prompt.adapter(),
                parts,
                prompt.promptTokens(),
                prompt.answerTokens(),
                rank);
    }
}
