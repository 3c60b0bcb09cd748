package io.stackhall.server.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.Settings;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Carries frames between the hosts of the system. A frame may be lost at any time; a call ends with
 * a reply or exceptionally, and then it is not known whether it arrived.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int THREADS = 2;

    private final Settings settings;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final Map<HostId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Frame>> calls = new ConcurrentHashMap<>();
    private final AtomicLong nextCall = new AtomicLong(1);
    private volatile FrameHandler handler = (frame, replier) -> {};
    private Channel listener;

    /** Creates a transport that is not open yet. */
    public PeerTransport(Settings settings) {
        this.settings = settings;
    }

    /**
     * Opens the listener and the connections to the other hosts.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void open(FrameHandler frames) {
        handler = frames;
        Address address = settings.peers();
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new PeerPipeline(() -> new PeerChannelHandler(this::received)))
                        .bind(address.socket())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen for peers on " + address, bound.cause());
        }
        listener = bound.channel();
        for (Settings.Host host : settings.hosts()) {
            if (!host.host().equals(settings.host())) {
                PeerLink link = new PeerLink(host.peers(), group, this::received);
                links.put(host.host(), link);
                link.connect();
            }
        }
    }

    /** Sends a frame to a host, if it is connected. */
    public boolean send(HostId host, Frame frame) {
        PeerLink link = links.get(host);
        return link != null && link.send(frame);
    }

    /**
     * Sends a frame and awaits a reply.
     *
     * @return the reply; exceptionally {@link NotSentException} if nothing was sent, or {@link
     *     TimeoutException} if no reply came
     */
    public CompletableFuture<Frame> call(HostId host, Frame.Builder frame, Duration timeout) {
        long call = nextCall.getAndIncrement();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        calls.put(call, reply);
        reply.whenComplete((ignored, failure) -> calls.remove(call));
        if (!send(host, frame.setCall(call).build())) {
            reply.completeExceptionally(new NotSentException(host));
            return reply;
        }
        return reply.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs a task on a network thread after a delay. */
    public void schedule(Runnable task, Duration delay) {
        group.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        if (listener != null) {
            listener.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void received(Frame frame, Replier replier) {
        if (frame.hasCommandReply()) {
            CompletableFuture<Frame> call = calls.get(frame.getCall());
            if (call != null) {
                call.complete(frame);
            }
            return;
        }
        handler.received(frame, replier);
    }
}
