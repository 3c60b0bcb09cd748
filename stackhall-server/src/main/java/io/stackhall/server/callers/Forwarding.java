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
 * How a request is passed on to a host of another zone: as the caller's own request, with a header
 * that keeps it in that zone. Its idempotency key stays behind, since its claim is held already.
 */
final class Forwarding {

    private static final String FORWARDED_BY = "Stackhall-Forwarded-By";

    private static final String ID_PATTERN = "[\\w./-]{1,100}";

    private Forwarding() {}

    /** Returns the headers towards another zone's host, beside those towards any upstream. */
    static Map<String, String> headers(HostId by, AcceptedRequest request) {
        Map<String, String> headers = new HashMap<>();
        headers.put(FORWARDED_BY, by.value());
        String priority = request.caller().priority().name().toLowerCase(Locale.ROOT);
        headers.put(Authenticator.PRIORITY_HEADER, priority);
        if (!request.repeatable()) {
            headers.put(RequestReader.REPEATABLE_HEADER, "false");
        }
        request.authorization()
                .ifPresent(value -> headers.put(HttpHeader.AUTHORIZATION.asString(), value));
        return headers;
    }

    /** Returns how far a request that came here may go. */
    static Reach reachOf(Request request) {
        return isForwarded(request) ? Reach.ZONE : Reach.ALL_ZONES;
    }

    /** Returns the id that another zone's host gave to a request, by which it knows the answer. */
    static Optional<String> forwardedId(Request request) {
        return Optional.ofNullable(request.getHeaders().get(UpstreamCall.REQUEST_ID))
                .filter(id -> isForwarded(request) && id.matches(ID_PATTERN));
    }

    private static boolean isForwarded(Request request) {
        return request.getHeaders().get(FORWARDED_BY) != null;
    }
}
