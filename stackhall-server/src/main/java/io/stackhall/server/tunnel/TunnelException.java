package io.stackhall.server.tunnel;

import io.stackhall.rpc.generated.fleet.TunnelReply;
import java.io.IOException;

/** A tunnel has not come up; nothing was sent to the upstream. */
public final class TunnelException extends IOException {

    private static final long serialVersionUID = 1;

    private final TunnelReply.Result result;

    TunnelException(TunnelReply.Result result, String message) {
        super(message);
        this.result = result;
    }

    /** Returns what the other host found, or that it declined or did not answer. */
    public TunnelReply.Result result() {
        return result;
    }
}
