package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.OptionalDouble;

/**
 * What an upstream has said in an answer to one host.
 *
 * @param perSecond the limit that it names, or nothing where it names none
 * @param basis what the host had last heard of the limit when it sent the request: an answer may
 *     only end what was known before it was asked for
 */
public record LimitObservation(
        UpstreamId upstream, OptionalDouble perSecond, LimitRevision basis) {}
