package io.stackhall.core.stream;

/** What is known of the origin of a stream. */
public sealed interface OriginLookup {

    /** The origin is known. */
    record Known(StreamOrigin origin) implements OriginLookup {}

    /** Nothing is known: it was never recorded, has expired, or was lost with a host. */
    record Unknown() implements OriginLookup {}

    /** Different origins were recorded for the same stream, so that neither is certain. */
    record Contradictory() implements OriginLookup {}
}
