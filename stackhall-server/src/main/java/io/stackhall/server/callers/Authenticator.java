package io.stackhall.server.callers;

import io.stackhall.core.config.CallerSpec;
import io.stackhall.core.config.Priority;
import io.stackhall.core.customer.KeyDigest;
import io.stackhall.core.id.CustomerId;
import io.stackhall.server.node.ConfigStore;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/**
 * Identifies callers by their API keys. If the deployment lists no callers, all requests belong to
 * one anonymous caller.
 */
final class Authenticator {

    private static final CustomerId ANONYMOUS = new CustomerId("anonymous");
    private static final String SCHEME = "Bearer ";
    static final String PRIORITY_HEADER = "Stackhall-Priority";

    private final ConfigStore config;

    Authenticator(ConfigStore config) {
        this.config = config;
    }

    /** Returns the caller, or empty if the key is missing or unknown. */
    Optional<Caller> authenticate(Request request) {
        List<CallerSpec> callers = config.current().deployment().callers();
        Optional<Priority> requested = requestedPriority(request);
        if (callers.isEmpty()) {
            return Optional.of(new Caller(ANONYMOUS, requested.orElse(Priority.NORMAL)));
        }
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (header == null || !header.startsWith(SCHEME)) {
            return Optional.empty();
        }
        KeyDigest key = KeyDigest.of(header.substring(SCHEME.length()).strip());
        return callers.stream()
                .filter(caller -> KeyDigest.parse(caller.keyHash()).equals(key))
                .findFirst()
                .map(spec -> new Caller(spec.id(), lower(spec.priority(), requested)));
    }

    /** A caller may request a lower priority than its own, never a higher one. */
    private static Priority lower(Priority own, Optional<Priority> requested) {
        return requested.filter(priority -> priority.compareTo(own) > 0).orElse(own);
    }

    private static Optional<Priority> requestedPriority(Request request) {
        String text = request.getHeaders().get(PRIORITY_HEADER);
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Priority.valueOf(text.strip().toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
