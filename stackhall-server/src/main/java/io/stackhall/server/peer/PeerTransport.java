package io.stackhall.server.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.settings.Address;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
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

    private final Address address;
    private final EventLoopGroup group;
    private final PeerTiming timing;
    private final ChannelFactory<NioSocketChannel> channels;
    private final Map<HostId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Frame>> calls = new ConcurrentHashMap<>();
    private final AtomicLong nextCall = new AtomicLong(1);
    private volatile FrameHandler handler = (frame, replier) -> {};
    private volatile TunnelListener tunnels = (request, channel) -> channel.close();
    private Channel listener;

    /**
     * Creates a transport that is not open yet.
     *
     * @param address where other hosts reach this one
     * @param group the threads that carry its connections; closed with it
     * @param timing when a connection counts as lost
     */
    public PeerTransport(Address address, EventLoopGroup group, PeerTiming timing) {
        this(address, group, timing, NioSocketChannel::new);
    }

    /**
     * Creates a transport that is not open yet.
     *
     * @param channels creates the sockets that connect to other hosts
     */
    public PeerTransport(
            Address address,
            EventLoopGroup group,
            PeerTiming timing,
            ChannelFactory<NioSocketChannel> channels) {
        this.address = address;
        this.group = group;
        this.timing = timing;
        this.channels = channels;
    }

    /** Sets the listener for requests to open tunnels; without one, they are declined. */
    public void onTunnel(TunnelListener listener) {
        tunnels = listener;
    }

    /**
     * Opens the listener.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void open(FrameHandler frames) {
        handler = frames;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new PeerPipeline(
                                        timing,
                                        () ->
                                                new PeerChannelHandler(
                                                        this::received,
                                                        (request, from) ->
                                                                tunnels.accept(request, from))))
                        .bind(address.socket())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen for peers on " + address, bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Keeps a connection to another host from now on, opened again whenever it is lost.
     *
     * @param connected called on a network thread each time the connection has come up
     */
    public void link(HostId host, Address peers, Runnable connected) {
        PeerLink link = new PeerLink(peers, group, channels, timing, this::received, connected);
        PeerLink former = links.put(host, link);
        if (former != null) {
            former.close();
        }
        link.connect();
    }

    /** Closes the connection to a host for good. */
    public void unlink(HostId host) {
        PeerLink link = links.remove(host);
        if (link != null) {
            link.close();
        }
    }

    /** Returns the hosts to which connections are kept. */
    public Set<HostId> linked() {
        return Set.copyOf(links.keySet());
    }

    /** Returns whether the connection to a host is up. */
    public boolean connected(HostId host) {
        PeerLink link = links.get(host);
        return link != null && link.connected();
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
