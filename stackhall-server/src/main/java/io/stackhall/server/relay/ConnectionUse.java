package io.stackhall.server.relay;

/**
 * The place of one request on a connection to an upstream.
 *
 * @param connection the number of the connection, from 1, among those that its client has opened
 * @param exchange the number of the request on that connection, from 1
 */
public record ConnectionUse(long connection, int exchange) {

    /** The place of a request that no connection carries yet. */
    public static final ConnectionUse NONE = new ConnectionUse(0, 0);

    public ConnectionUse {
        if (connection < 0 || exchange < 0) {
            throw new IllegalArgumentException("negative: " + connection + ", " + exchange);
        }
    }
}
