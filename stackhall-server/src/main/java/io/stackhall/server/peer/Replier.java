package io.stackhall.server.peer;

import io.stackhall.rpc.generated.peer.Frame;

/** Sends frames back on the connection on which one came. */
@FunctionalInterface
public interface Replier {

    /** Sends a frame; it is lost if the connection is. */
    void send(Frame frame);
}
