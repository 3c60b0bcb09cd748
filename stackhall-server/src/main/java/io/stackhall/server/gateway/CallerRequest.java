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
import io.stackhall.platform.Headers;
import io.stackhall.platform.RequestHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One request as it came from a caller.
 *
 * @param method its method
 * @param target its path and query, unchanged
 * @param headers its headers, unchanged
 * @param body its whole body
 * @param arrivedAt when its head had arrived, on the monotonic clock in nanoseconds
 */
record CallerRequest(
        HttpMethod method, String target, HttpHeaders headers, byte[] body, long arrivedAt) {

    /** Returns the caller's name for this attempt, empty where it gave none. */
    String id() {
        return RequestHeaders.requestId(headers::get);
    }

    /** Returns whom it is addressed to, empty where it does not say. */
    String authority() {
        return headers.get(HttpHeaderNames.HOST, "");
    }

    /** Computes by what it is known again when it comes another time. */
    RequestDigest digest() {
        return RequestDigest.of(method.name(), authority(), target, body);
    }

    /** Returns the digests of the customers' keys that it carries. */
    List<KeyDigest> keyDigests() {
        return RequestHeaders.keys(headers.getAll(Headers.AUTHORIZATION));
    }

    /** Returns the tokens of its prompt and the most of its answer, 0 where it does not say. */
    int tokenCount() {
        RequestHeaders.Prompt prompt = RequestHeaders.prompt(headers::get);
        return prompt.promptTokens() + prompt.answerTokens();
    }

    /** Returns how long the caller waits, in milliseconds, if it says so. */
    OptionalLong deadlineMillis() {
        return RequestHeaders.deadlineMillis(headers::get);
    }

    /**
     * Returns what it needs of an instance of a service.
     *
     * @param rank how urgent it is, 0 first
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
