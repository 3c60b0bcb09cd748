package io.stackhall.server.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Finds idle connections whose other end has gone without a word, within three seconds. */
public final class KeepAlive {

    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private KeepAlive() {}

    /** Sets the options of the connections that a bootstrap opens, and returns it. */
    public static Bootstrap enable(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
