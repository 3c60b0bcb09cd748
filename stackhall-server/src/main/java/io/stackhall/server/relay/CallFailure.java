package io.stackhall.server.relay;

/**
 * Why a call has ended without a whole answer.
 *
 * @param sent whether any byte of the request may have reached the upstream
 * @param reason for logs
 */
public record CallFailure(boolean sent, String reason) {}
