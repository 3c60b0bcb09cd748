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
 * Tells callers apart by their keys. Where the deployment names no callers, everybody is one
 * anonymous caller.
 */
final class Authenticator {

    private static final CustomerId ANONYMOUS = new CustomerId("anonymous");
    private static final String SCHEME = "Bearer ";
    static final String PRIORITY_HEADER = "Stackhall-Priority";

    private final ConfigStore config;

    Authenticator(ConfigStore config) {
        this.config = config;
    }

    /** Returns the caller, or nothing where the key is missing or wrong. */
    Optional<Caller> authenticate(Request request) {
        List<CallerSpec> callers = config.current().deployment().callers();
        Optional<Priority> asked = requestedPriority(request);
        if (callers.isEmpty()) {
            return Optional.of(new Caller(ANONYMOUS, asked.orElse(Priority.NORMAL)));
        }
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (header == null || !header.startsWith(SCHEME)) {
            return Optional.empty();
        }
        KeyDigest key = KeyDigest.of(header.substring(SCHEME.length()).strip());
        return callers.stream()
                .filter(caller -> KeyDigest.parse(caller.keyHash()).equals(key))
                .findFirst()
                .map(spec -> new Caller(spec.id(), lower(spec.priority(), asked)));
    }

    /** A caller may ask for less urgency than it has, never for more. */
    private static Priority lower(Priority own, Optional<Priority> asked) {
        return asked.filter(priority -> priority.compareTo(own) > 0).orElse(own);
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
