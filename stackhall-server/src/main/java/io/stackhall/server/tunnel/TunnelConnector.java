package io.stackhall.server.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.stackhall.rpc.generated.fleet.OpenTunnel;
import io.stackhall.rpc.generated.fleet.TunnelReply;
import io.stackhall.rpc.generated.fleet.TunnelReply.Result;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.peer.PeerCodec;
import io.stackhall.server.settings.Address;
import java.util.concurrent.TimeUnit;

/** Opens tunnels through other hosts. Used on one event loop. */
public final class TunnelConnector {

    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** The other host gives up its own connection after 250 ms. */
    private static final int REPLY_TIMEOUT_MILLIS = 400;

    private final EventLoop loop;
    private final Bootstrap bootstrap;

    /** Creates a connector. */
    public TunnelConnector(EventLoop loop) {
        this.loop = loop;
        this.bootstrap =
                KeepAlive.enable(new Bootstrap())
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        PeerCodec.addTo(channel.pipeline());
                                    }
                                });
    }

    /**
     * Opens a tunnel.
     *
     * @return a channel whose bytes go to and come from the upstream; or a {@link TunnelException}
     */
    public Future<Channel> open(TunnelRoute route) {
        Promise<Channel> promise = loop.newPromise();
        bootstrap
                .connect(Address.parse(route.host().value()).socket())
                .addListener(done -> connected(route, (ChannelFuture) done, promise));
        return promise;
    }

    private void connected(TunnelRoute route, ChannelFuture done, Promise<Channel> promise) {
        if (!done.isSuccess()) {
            promise.tryFailure(unreached(route, String.valueOf(done.cause())));
            return;
        }
        Channel channel = done.channel();
        channel.pipeline().addLast(new ReplyHandler(route, promise));
        loop.schedule(
                () -> {
                    if (promise.tryFailure(unreached(route, "no reply"))) {
                        channel.close();
                    }
                },
                REPLY_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        OpenTunnel open =
                OpenTunnel.newBuilder()
                        .setInstance(route.upstream().toString())
                        .setFramed(true)
                        .build();
        channel.writeAndFlush(Frame.newBuilder().setOpenTunnel(open).build());
    }

    private static TunnelException unreached(TunnelRoute route, String cause) {
        return new TunnelException(Result.DECLINED, "no tunnel through " + route + ": " + cause);
    }

    /** Awaits the other host's reply, and then leaves the channel to its bytes. */
    private static final class ReplyHandler extends SimpleChannelInboundHandler<Frame> {

        private final TunnelRoute route;
        private final Promise<Channel> promise;

        ReplyHandler(TunnelRoute route, Promise<Channel> promise) {
            this.route = route;
            this.promise = promise;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (!frame.hasTunnelReply()) {
                return;
            }
            TunnelReply.Result result = frame.getTunnelReply().getResult();
            if (result == Result.OPEN) {
                if (frame.getTunnelReply().getFramed()) {
                    context.pipeline().addLast(new TunnelInput());
                }
                PeerCodec.removeFrom(context.pipeline());
                context.pipeline().remove(this);
                promise.trySuccess(context.channel());
                return;
            }
            promise.tryFailure(new TunnelException(result, route + ": " + result));
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            promise.tryFailure(unreached(route, "closed before a reply"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            promise.tryFailure(unreached(route, cause.toString()));
            context.close();
        }
    }
}
