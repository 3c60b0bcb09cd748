package io.stackhall.server.callers;

import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.Target;
import java.util.Map;
import java.util.Optional;

/**
 * A caller's request once it is understood.
 *
 * @param caller whose it is
 * @param target what it is for
 * @param method the HTTP method towards the upstream
 * @param path the path towards the upstream
 * @param headers headers to pass on
 * @param body the body
 * @param streamed whether the answer is to be a stream of events
 * @param prefix digest of its prompt's beginning, or 0
 * @param repeatable whether it may run more than once
 * @param key the caller's name for it
 * @param deadlineNanos how long its answer is of use
 * @param reach how far it may be sent
 * @param authorization the caller's credentials, for another zone's host; empty for deferred work,
 *     which keeps none
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
