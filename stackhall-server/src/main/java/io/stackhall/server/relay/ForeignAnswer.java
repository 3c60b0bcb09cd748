package io.stackhall.server.relay;

/**
 * An answer that came in place of the one that was due, and belongs to another request.
 *
 * @param status its status
 * @param echo the id of the request that it belongs to
 * @param use where on its connection it came
 */
public record ForeignAnswer(int status, String echo, ConnectionUse use) {}
