package io.stackhall.tests.harness;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy for one target that injects faults: silence in one direction or both, delay, broken
 * connections, and late copies of what was sent.
 *
 * <p>Silence drops bytes while the connection seems to stand. Once it ends, the connections that
 * have lost bytes are closed, as a real network's would be reset.
 */
public final class FaultProxy implements AutoCloseable {

    private static final EventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());

    private final InetSocketAddress target;
    private final Channel listener;
    private final Set<Channel> tainted = ConcurrentHashMap.newKeySet();
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();
    private final List<Recorded> recorded = new CopyOnWriteArrayList<>();
    private volatile boolean dropForward;
    private volatile boolean dropBackward;
    private volatile boolean recording;
    private volatile long delayMillis;
    private volatile long breakAfterBytesBackward = Long.MAX_VALUE;

    private record Recorded(byte[] bytes, long at) {}

    /** Listens on a free port in front of a target on loopback. */
    public FaultProxy(int targetPort) {
        target = new InetSocketAddress("127.0.0.1", targetPort);
        listener =
                new ServerBootstrap()
                        .group(GROUP)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", Ports.free()))
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the port in front of the target. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Drops everything towards the target, and everything back, in silence. */
    public void silence(boolean forward, boolean backward) {
        dropForward = forward;
        dropBackward = backward;
        if (!forward && !backward) {
            tainted.forEach(Channel::close);
            tainted.clear();
        }
    }

    /** Holds back everything towards the target for a while. */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /** Closes every connection now. */
    public void breakConnections() {
        open.forEach(Channel::close);
    }

    /** Breaks each connection once so many bytes of answers have passed; 0 to stop that. */
    public void breakAfterAnswerBytes(long bytes) {
        breakAfterBytesBackward = bytes == 0 ? Long.MAX_VALUE : bytes;
    }

    /** Records what goes towards the target from now on. */
    public void record(boolean on) {
        recording = on;
    }

    /** Sends a late copy of what was recorded lately, each on a connection of its own. */
    public void replayRecorded(long maxAgeMillis) {
        long oldest = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(maxAgeMillis);
        for (Recorded item : recorded) {
            if (item.at() - oldest >= 0) {
                connect()
                        .addListener(
                                (ChannelFutureListener)
                                        future ->
                                                future.channel()
                                                        .writeAndFlush(
                                                                Unpooled.wrappedBuffer(
                                                                        item.bytes())));
            }
        }
    }

    @Override
    public void close() {
        listener.close();
        breakConnections();
    }

    private void accept(SocketChannel client) {
        client.config().setAutoRead(false);
        open.add(client);
        client.closeFuture().addListener(ignored -> open.remove(client));
        connect()
                .addListener(
                        (ChannelFutureListener)
                                future -> {
                                    if (!future.isSuccess()) {
                                        client.close();
                                        return;
                                    }
                                    join(client, future.channel());
                                });
    }

    private ChannelFuture connect() {
        return new Bootstrap()
                .group(GROUP)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(target);
    }

    private void join(Channel client, Channel server) {
        client.pipeline().addLast(new Copier(client, server, true));
        server.pipeline().addLast(new Copier(server, client, false));
        client.closeFuture().addListener(ignored -> closeGently(server));
        server.closeFuture().addListener(ignored -> closeGently(client));
        client.config().setAutoRead(true);
    }

    /** A silent network shows no end of a connection either. */
    private void closeGently(Channel channel) {
        if (!dropForward && !dropBackward) {
            channel.close();
        } else {
            tainted.add(channel);
        }
    }

    /** Copies one direction of a connection. */
    private final class Copier extends ChannelInboundHandlerAdapter {
        private final Channel own;
        private final Channel other;
        private final boolean forward;
        private long passed;

        Copier(Channel own, Channel other, boolean forward) {
            this.own = own;
            this.other = other;
            this.forward = forward;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            passed += bytes.readableBytes();
            boolean dropped = forward ? dropForward : dropBackward;
            if (forward && recording) {
                recorded.add(new Recorded(ByteBufUtil.getBytes(bytes), System.nanoTime()));
            }
            if (dropped || tainted.contains(own)) {
                ReferenceCountUtil.release(message);
                tainted.add(own);
                tainted.add(other);
                return;
            }
            if (!forward && passed > breakAfterBytesBackward) {
                ReferenceCountUtil.release(message);
                own.close();
                return;
            }
            if (forward && delayMillis > 0) {
                GROUP.schedule(
                        () -> other.writeAndFlush(bytes), delayMillis, TimeUnit.MILLISECONDS);
            } else {
                other.writeAndFlush(bytes);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            own.close();
        }
    }
}
