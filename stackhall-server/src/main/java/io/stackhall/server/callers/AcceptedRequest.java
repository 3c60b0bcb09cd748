package io.stackhall.server.callers;

import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.Target;
import java.util.Map;
import java.util.Optional;

/**
 * A caller's request that has been parsed and validated.
 *
 * @param caller the customer and the priority of the request
 * @param target the model or service that it is for
 * @param method the HTTP method of the request to the upstream
 * @param path the path and query of the request to the upstream
 * @param headers headers to forward
 * @param body the body
 * @param streamed whether the answer is a stream of events
 * @param prefix digest of its prompt's prefix, or 0
 * @param repeatable whether it may run more than once
 * @param key the caller's idempotency key
 * @param timeoutNanos the time within which its answer is useful, in nanoseconds
 * @param reach whether it may be sent to other zones
 * @param authorization the caller's credentials, for a host of another zone; empty for deferred
 *     work, which is stored without credentials
 */
record AcceptedRequest(
        Caller caller,
        Target target,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean streamed,
        long prefix,
        boolean repeatable,
        Optional<IdempotencyKey> key,
        long timeoutNanos,
        Reach reach,
        Optional<String> authorization) {}
