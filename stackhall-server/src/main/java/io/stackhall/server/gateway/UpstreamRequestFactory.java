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
 * Creates the request that an instance receives: a copy of the caller's request without hop-by-hop
 * headers and without headers that only stackhall may set.
 */
final class UpstreamRequestFactory {

    /** The largest value of the priority header; 0 is the most urgent. */
    private static final int LEAST_URGENT = 9;

    private UpstreamRequestFactory() {}

    /**
     * Returns the request for an instance.
     *
     * @param customer the authenticated customer, sent to the instance in place of the key
     * @param keysRequired whether requests carry customer keys, which are removed
     * @param remainingMillis the time that the instance has to run it; at least 1 ms is sent
     * @param lastEventId the id of the last event that the caller has received of a broken stream
     */
    static FullHttpRequest create(
            CallerRequest request,
            Need need,
            Instance instance,
            Optional<Customer> customer,
            boolean keysRequired,
            long remainingMillis,
            OptionalLong lastEventId) {
        FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        Answers.copyHeaders(request.headers(), copy.headers());
        Headers.SYSTEM_ONLY.forEach(copy.headers()::remove);
        if (keysRequired) {
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
        copy.headers().set(Headers.DEADLINE_MILLIS, Long.toString(Math.max(1, remainingMillis)));
        copy.headers().set(Headers.EXPECTED_INSTANCE, instance.id().value());
        if (need.model().isPresent()) {
            int urgency = Math.min(LEAST_URGENT, need.rank());
            copy.headers().set(Headers.PRIORITY, Integer.toString(urgency));
        }
        if (lastEventId.isPresent()) {
            copy.headers().set(Headers.LAST_EVENT_ID, Long.toString(lastEventId.getAsLong()));
        }
        return copy;
    }
}
