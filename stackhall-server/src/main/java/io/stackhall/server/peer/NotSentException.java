package io.stackhall.server.peer;

import io.stackhall.core.id.HostId;

/** Nothing was sent, because the host is not connected. */
public final class NotSentException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the host. */
    public NotSentException(HostId host) {
        super("host " + host + " is not connected");
    }
}
