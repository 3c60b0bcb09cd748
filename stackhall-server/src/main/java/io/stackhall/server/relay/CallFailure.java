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
        /** The host that should have passed the request on could not be reached, or declined. */
        NO_TUNNEL,
        /** The host that should have passed the request on does not reach the upstream itself. */
        NOT_REACHED,
        /** A connection was there, and no byte was written. */
        NOT_SENT,
        /** Whoever sends it did not want it written any more once a connection was there. */
        WITHDRAWN,
        /** Bytes of the request may have reached the upstream. */
        SENT,
        /** As with {@code SENT}; the upstream itself has ended the connection, in good order. */
        ENDED_BY_UPSTREAM,
        /** As with {@code SENT}; what the upstream has sent cannot be believed as an answer. */
        UNUSABLE_ANSWER
    }

    /** Returns whether any byte of the request may have reached the upstream. */
    public boolean sent() {
        return switch (stage) {
            case SENT, ENDED_BY_UPSTREAM, UNUSABLE_ANSWER -> true;
            case REFUSED, NO_CONNECTION, NO_TUNNEL, NOT_REACHED, NOT_SENT, WITHDRAWN -> false;
        };
    }

    /** Returns whether no connection to the upstream came up. */
    public boolean unconnected() {
        return stage == Stage.REFUSED || stage == Stage.NO_CONNECTION;
    }
}
