package io.stackhall.server.tunnel;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Tells why a connection has not come up. */
public final class ConnectFailures {

    private ConnectFailures() {}

    /** Returns whether a connection failed because nobody listens there. */
    public static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
