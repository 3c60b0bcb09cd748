package io.stackhall.server.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.stream.ReadPace;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.ConnectFailures;
import io.stackhall.server.tunnel.KeepAlive;
import io.stackhall.server.tunnel.TunnelConnector;
import io.stackhall.server.tunnel.TunnelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends requests to upstreams over kept connections, one request at a time on each.
 *
 * <p>To be used on its event loop alone. A connection is used again only if its last answer was
 * whole, nothing came behind it, the request before it was written whole, it has not rested for
 * longer than the upstream keeps it or than {@link #LONGEST_REST_NANOS}, and the next answer can be
 * told apart from any that may still come on it.
 */
public final class UpstreamClient {

    /** Hosts answer within 2 ms, and a lost opening packet is only sent again after a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** Connections that rest for longer may have been forgotten by the upstream. */
    private static final long LONGEST_REST_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time within which the sockets of a process that dies are closed. */
    private static final long PROCESS_END_MILLIS = 10;

    /** More resting connections to one upstream than this are closed. */
    private static final int MOST_RESTING = 24;

    private final EventLoop loop;
    private final String echoHeader;
    private final Bootstrap bootstrap;
    private final TunnelConnector tunnels;
    private final Map<UpstreamRoute, Deque<Resting>> resting = new HashMap<>();
    private final PacedReads pacedReads;
    private boolean pacing;
    private long connections;

    private record Resting(Channel channel, long until) {}

    /**
     * Creates a client.
     *
     * @param loop the only thread that uses it
     * @param echoHeader the header by which an upstream says which request an answer belongs to
     */
    public UpstreamClient(EventLoop loop, String echoHeader) {
        this(loop, echoHeader, NioSocketChannel::new);
    }

    /**
     * Creates a client with sockets of a certain kind.
     *
     * @param loop the only thread that uses it
     * @param echoHeader the header by which an upstream says which request an answer belongs to
     * @param channels creates the sockets of its connections to upstreams
     */
    public UpstreamClient(
            EventLoop loop, String echoHeader, ChannelFactory<NioSocketChannel> channels) {
        this.loop = loop;
        this.echoHeader = echoHeader;
        this.tunnels = new TunnelConnector(loop);
        this.pacedReads = new PacedReads(loop, ReadPace.interval(List.of()));
        this.bootstrap =
                KeepAlive.enable(new Bootstrap())
                        .group(loop)
                        .channelFactory(channels)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // Whoever connects adds what the connection is for.
                                    }
                                });
    }

    /**
     * Sends a request.
     *
     * @param identity by what its answer is told apart from others
     * @param listener hears what becomes of it
     */
    public UpstreamCall send(
            Address address,
            FullHttpRequest request,
            AnswerIdentity identity,
            CallListener listener) {
        return send(UpstreamRoute.direct(address), request, identity, listener);
    }

    /**
     * Sends a request on a route.
     *
     * @param identity by what its answer is told apart from others
     * @param listener hears what becomes of it
     */
    public UpstreamCall send(
            UpstreamRoute route,
            FullHttpRequest request,
            AnswerIdentity identity,
            CallListener listener) {
        UpstreamCall call = new UpstreamCall(route, request, identity, listener);
        takeResting(call).ifPresentOrElse(kept -> write(call, kept), () -> open(call));
        return call;
    }

    /** Sends a request on a new connection, which shows whether one comes up. */
    public UpstreamCall sendOnNewConnection(
            UpstreamRoute route, FullHttpRequest request, CallListener listener) {
        UpstreamCall call = new UpstreamCall(route, request, new AnswerIdentity.Place(), listener);
        open(call);
        return call;
    }

    /**
     * Finds out whether anybody listens at the end of a route, without sending a byte.
     *
     * @param result told how far it came, or nothing if the connection came up
     */
    public void probe(UpstreamRoute route, Consumer<Optional<CallFailure.Stage>> result) {
        connect(route)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                ((Channel) done.getNow()).close();
                                result.accept(Optional.empty());
                            } else {
                                result.accept(Optional.of(stage(done.cause())));
                            }
                        });
    }

    /**
     * Finds out whether the process at the end of a route still listens, after it has ended a
     * connection. The kernel closes the sockets of a process that dies one after the other, so that
     * a connection that comes up has to stay open for a while. One that is closed may also be one
     * too many for its upstream, which then still accepts others.
     *
     * @param result receives whether it listens; false if no connection comes up, for whatever
     *     reason
     */
    public void checkListens(UpstreamRoute route, Consumer<Boolean> result) {
        connect(route)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                awaitClose((Channel) done.getNow(), route, result);
                            } else {
                                result.accept(false);
                            }
                        });
    }

    private void awaitClose(Channel channel, UpstreamRoute route, Consumer<Boolean> result) {
        channel.pipeline().addLast(new ClosedWithPeer());
        channel.config().setAutoRead(true);
        loop.schedule(
                () -> {
                    if (channel.isActive()) {
                        channel.close();
                        result.accept(true);
                    } else {
                        probe(route, failure -> result.accept(failure.isEmpty()));
                    }
                },
                PROCESS_END_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Opens a connection of this host to an upstream.
     *
     * @return a channel without handlers that does not read yet
     */
    public Future<Channel> connect(Address address) {
        Promise<Channel> promise = loop.newPromise();
        bootstrap
                .clone()
                .option(ChannelOption.AUTO_READ, false)
                .connect(address.socket())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                promise.setSuccess(((ChannelFuture) done).channel());
                            } else {
                                promise.setFailure(done.cause());
                            }
                        });
        return promise;
    }

    private Future<Channel> connect(UpstreamRoute route) {
        return route.tunnel().map(tunnels::open).orElseGet(() -> connect(route.address()));
    }

    private void open(UpstreamCall call) {
        connect(call.route()).addListener(done -> connected(call, done));
    }

    /** Closes the resting connections to an address whose upstream has ended. */
    public void forget(Address address) {
        resting.entrySet()
                .removeIf(
                        entry -> {
                            boolean ended = entry.getKey().address().equals(address);
                            if (ended) {
                                entry.getValue().forEach(item -> item.channel().close());
                            }
                            return ended;
                        });
    }

    /** Closes connections that have rested for too long. */
    public void sweep() {
        long now = BootClock.nanos();
        for (Iterator<Deque<Resting>> all = resting.values().iterator(); all.hasNext(); ) {
            Deque<Resting> kept = all.next();
            while (!kept.isEmpty() && kept.peekFirst().until() - now <= 0) {
                kept.pollFirst().channel().close();
            }
            if (kept.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Has the rests of streams read at common times, which spares a small host wake-ups. */
    public void paceStreams() {
        pacing = true;
    }

    /** Sets the time from one common read of streams to the next. */
    public void setReadInterval(Duration interval) {
        pacedReads.setInterval(interval);
    }

    /** Has the rest of a stream, whose first event has come, read at common times. */
    public void paceRest(UpstreamCall call) {
        if (pacing) {
            call.readAt(pacedReads);
        }
    }

    /** Takes back a connection whose answer was whole. */
    void rest(UpstreamRoute route, Channel channel, long keptNanos) {
        long rest = Math.min(keptNanos, LONGEST_REST_NANOS);
        Deque<Resting> kept = resting.computeIfAbsent(route, key -> new ArrayDeque<>());
        if (rest <= 0 || kept.size() >= MOST_RESTING || !channel.isActive()) {
            channel.close();
            return;
        }
        kept.addLast(new Resting(channel, BootClock.nanos() + rest));
    }

    /** Takes the connection that was used last of those that may carry a call. */
    private Optional<Channel> takeResting(UpstreamCall call) {
        Deque<Resting> kept = resting.getOrDefault(call.route(), new ArrayDeque<>());
        long now = BootClock.nanos();
        for (Iterator<Resting> latestFirst = kept.descendingIterator(); latestFirst.hasNext(); ) {
            Resting one = latestFirst.next();
            UpstreamHandler handler = handler(one.channel());
            if (!one.channel().isActive() || !handler.isAtRest() || one.until() - now <= 0) {
                latestFirst.remove();
                one.channel().close();
            } else if (handler.mayCarry(call)) {
                latestFirst.remove();
                return Optional.of(one.channel());
            }
        }
        return Optional.empty();
    }

    private static UpstreamHandler handler(Channel channel) {
        return channel.pipeline().get(UpstreamHandler.class);
    }

    private void connected(UpstreamCall call, Future<? super Channel> done) {
        if (!done.isSuccess()) {
            String reason = "cannot connect: " + done.cause().getMessage();
            call.unreachable(stage(done.cause()), reason);
            return;
        }
        Channel channel = (Channel) done.getNow();
        if (call.ended()) {
            channel.close();
            return;
        }
        AnswerDecoder decoder = new AnswerDecoder();
        channel.pipeline()
                .addLast(
                        new HttpRequestEncoder(),
                        decoder,
                        new UpstreamHandler(this, decoder, echoHeader, ++connections));
        channel.config().setAutoRead(true);
        write(call, channel);
    }

    private static CallFailure.Stage stage(Throwable cause) {
        if (cause instanceof TunnelException failed) {
            return switch (failed.result()) {
                case REFUSED -> CallFailure.Stage.REFUSED;
                case NO_CONNECTION -> CallFailure.Stage.NO_CONNECTION;
                case NOT_REACHED -> CallFailure.Stage.NOT_REACHED;
                default -> CallFailure.Stage.NO_TUNNEL;
            };
        }
        return ConnectFailures.isRefusal(cause)
                ? CallFailure.Stage.REFUSED
                : CallFailure.Stage.NO_CONNECTION;
    }

    private void write(UpstreamCall call, Channel channel) {
        if (!call.sending()) {
            channel.close();
            call.withdraw();
            return;
        }
        call.boundTo(channel);
        handler(channel).begin(call);
        channel.writeAndFlush(call.request())
                .addListener(
                        written ->
                                loop.execute(
                                        () ->
                                                channel.pipeline()
                                                        .fireUserEventTriggered(
                                                                new RequestWritten(
                                                                        call,
                                                                        written.isSuccess()))));
    }

    /** Says that the request of a call has left whole, or cannot leave. */
    record RequestWritten(UpstreamCall call, boolean whole) {}
}
