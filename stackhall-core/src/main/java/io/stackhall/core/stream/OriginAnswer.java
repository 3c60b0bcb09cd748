package io.stackhall.core.stream;

/**
 * What a control host answers to a question for the origin of a stream.
 *
 * @param lookup what it knows of the stream
 * @param seen what it has seen of the service
 * @param voters the number of voters of the control group, 0 if it is not one of them
 */
public record OriginAnswer(OriginLookup lookup, VersionsSeen seen, int voters) {}
