package io.stackhall.server.relay;

/**
 * Why a call has ended without a whole answer.
 *
 * @param stage how far it came
 * @param reason for logs
 */
public record CallFailure(Stage stage, String reason) {

    /** How far a call came before it failed. */
    public enum Stage {
        /** The connection was refused: nobody listens there. */
        REFUSED,
        /** No connection came up. */
        NO_CONNECTION,
        /** A connection was there, and no byte was written. */
        NOT_SENT,
        /** Whoever sends it did not want it written any more once a connection was there. */
        WITHDRAWN,
        /** Bytes of the request may have reached the upstream. */
        SENT
    }

    /** Returns whether any byte of the request may have reached the upstream. */
    public boolean sent() {
        return stage == Stage.SENT;
    }
}
