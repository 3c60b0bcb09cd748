package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.OptionalDouble;

/**
 * The limit that an upstream has announced in an answer to one host.
 *
 * @param perSecond the announced limit in requests per second, or empty if there is none
 * @param basis revision of the limit that the host knew when it sent the request: an answer may
 *     only end a limit that was known before the request
 */
public record LimitObservation(
        UpstreamId upstream, OptionalDouble perSecond, LimitRevision basis) {}
