package io.stackhall.server.callers;

import io.stackhall.core.id.HostId;
import io.stackhall.core.routing.Reach;
import io.stackhall.server.upstreams.UpstreamCall;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/**
 * Defines how a request is forwarded to a host of another zone: as the caller's own request, with a
 * header that prevents that host from forwarding it again. The idempotency key is not forwarded,
 * since the forwarding host already holds the claim.
 */
final class Forwarding {

    private static final String FORWARDED_BY = "Stackhall-Forwarded-By";

    private static final String ID_PATTERN = "[\\w./-]{1,100}";

    private Forwarding() {}

    /** Returns the headers that only another zone's host receives. */
    static Map<String, String> headers(HostId forwardingHost, AcceptedRequest request) {
        Map<String, String> headers = new HashMap<>();
        headers.put(FORWARDED_BY, forwardingHost.value());
        String priority = request.caller().priority().name().toLowerCase(Locale.ROOT);
        headers.put(Authenticator.PRIORITY_HEADER, priority);
        if (!request.repeatable()) {
            headers.put(RequestReader.REPEATABLE_HEADER, "false");
        }
        request.authorization()
                .ifPresent(value -> headers.put(HttpHeader.AUTHORIZATION.asString(), value));
        return headers;
    }

    /** Returns to which zones a received request may be sent. */
    static Reach reachOf(Request request) {
        return isForwarded(request) ? Reach.ZONE : Reach.ALL_ZONES;
    }

    /**
     * Returns the id that the forwarding host of another zone gave to a request; that host expects
     * it in the answer.
     */
    static Optional<String> forwardedId(Request request) {
        return Optional.ofNullable(request.getHeaders().get(UpstreamCall.REQUEST_ID))
                .filter(id -> isForwarded(request) && id.matches(ID_PATTERN));
    }

    private static boolean isForwarded(Request request) {
        return request.getHeaders().get(FORWARDED_BY) != null;
    }
}
