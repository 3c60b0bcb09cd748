package io.stackhall.server.peer;

import io.netty.channel.Channel;
import io.stackhall.rpc.generated.fleet.OpenTunnel;

/** Receives requests of other hosts to turn the connection that they came on into a tunnel. */
@FunctionalInterface
public interface TunnelListener {

    /** Receives a request on a network thread; it must not block. */
    void accept(OpenTunnel request, Channel channel);
}
