package io.stackhall.server.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.platform.Headers;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Makes what an instance gets of a caller's request: the same, but for one connection's headers and
 * those that only the system may send.
 */
final class UpstreamRequestFactory {

    private static final int LEAST_URGENT = 9;

    private UpstreamRequestFactory() {}

    /**
     * Returns the request for an instance.
     *
     * @param customer whose request it is, told to the instance in place of the key
     * @param keysNeeded whether requests carry keys, which the instance is not to see
     * @param leftMillis how long the instance may work on it
     * @param lastEvent the last event that the caller holds of a stream that broke off
     */
    static FullHttpRequest create(
            CallerRequest request,
            Need need,
            Instance instance,
            Optional<Customer> customer,
            boolean keysNeeded,
            long leftMillis,
            OptionalLong lastEvent) {
        FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        Answers.copyHeaders(request.headers(), copy.headers());
        Headers.SYSTEM_ONLY.forEach(copy.headers()::remove);
        if (keysNeeded) {
            copy.headers().remove(Headers.AUTHORIZATION);
        }
        customer.ifPresent(one -> copy.headers().set(Headers.CUSTOMER, one.id().value()));
        boolean hasBody =
                request.body().length > 0
                        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        copy.headers().set(Headers.DEADLINE_MILLIS, Long.toString(Math.max(1, leftMillis)));
        copy.headers().set(Headers.EXPECTED_INSTANCE, instance.id().value());
        if (need.model().isPresent()) {
            int urgency = Math.min(LEAST_URGENT, need.rank());
            copy.headers().set(Headers.PRIORITY, Integer.toString(urgency));
        }
        if (lastEvent.isPresent()) {
            copy.headers().set(Headers.LAST_EVENT_ID, Long.toString(lastEvent.getAsLong()));
        }
        return copy;
    }
}
