package io.stackhall.server.upstreams;

import io.stackhall.core.id.RequestId;
import java.util.Map;

/**
 * A request as it goes to an upstream.
 *
 * @param id its id, the same for all attempts
 * @param method the HTTP method
 * @param path the path and query
 * @param headers further headers
 * @param body the body, empty for none
 * @param shared whether a connection may be used that has served before; one that the upstream has
 *     just closed makes the outcome unknown, so that what is not repeatable takes a new one
 */
public record UpstreamRequest(
        RequestId id,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean shared) {}
