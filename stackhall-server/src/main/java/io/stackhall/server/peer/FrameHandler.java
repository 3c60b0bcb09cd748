package io.stackhall.server.peer;

import io.stackhall.rpc.generated.peer.Frame;

/** Takes the frames that other hosts send. */
@FunctionalInterface
public interface FrameHandler {

    /** Takes a frame on a network thread; it must not block. */
    void received(Frame frame, Replier replier);
}
