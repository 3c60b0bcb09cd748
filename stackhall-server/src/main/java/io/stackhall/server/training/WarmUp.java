package io.stackhall.server.training;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.concurrent.FastThreadLocalThread;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.RouteTable;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.platform.RegistrationDecoder;
import io.stackhall.platform.TrainingMessages;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.gateway.LoopbackGateway;
import io.stackhall.server.log.MutedLines;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends requests through a {@link LoopbackGateway} until it is ended or its budget is used, so that
 * the path of a request is compiled before callers come. Runs on a thread of its own, which ends
 * with it and closes all its sockets. A failure ends it and is logged.
 */
final class WarmUp {

    private static final Logger logger = LogManager.getLogger(WarmUp.class);

    static final String THREAD_NAME = "warm-up";

    private static final ZoneId ZONE = new ZoneId("training");
    private static final int CLOSE_TIMEOUT_MILLIS = 1000;

    private final double processorShare;
    private final Supplier<Duration> processorTime;
    private final EventLoop loop;
    private volatile boolean started;
    private volatile long startedAt;
    private final AtomicReference<Throwable> failure = new AtomicReference<>();
    private volatile boolean ended;
    private WarmUpBudget budget;
    private Duration used = Duration.ZERO;
    private int requests;
    private int round;
    private long roundStartedAt;
    private long activeNanos;

    /**
     * Creates a warm-up that has not started.
     *
     * <p>A process that is limited to a share of a core uses at most this share of the time in
     * which the warm-up has a request under way. That bounds its processor time, the compiler's
     * included, without a question to the system, which not every system answers.
     *
     * @param processorShare the share of a core that this process may use
     */
    WarmUp(double processorShare) {
        this.processorShare = processorShare;
        this.processorTime = this::maxProcessorTime;
        this.loop = new SingleThreadIoEventLoop(null, this::newThread, NioIoHandler.newFactory());
    }

    /**
     * Creates a warm-up that has not started and takes its processor time from elsewhere.
     *
     * @param processorShare the share of a core that this process may use
     * @param processorTime the processor time that this process has used
     */
    WarmUp(double processorShare, Supplier<Duration> processorTime) {
        this.processorShare = processorShare;
        this.processorTime = processorTime;
        this.loop = new SingleThreadIoEventLoop(null, this::newThread, NioIoHandler.newFactory());
    }

    /** Starts the warm-up unless it was ended before; never blocks. */
    void start() {
        startedAt = BootClock.nanos();
        started = true;
        try {
            loop.execute(() -> guarded(this::open));
        } catch (RejectedExecutionException e) {
            logger.debug("warm-up.not-started");
        }
    }

    /** Ends the warm-up after the event that it is handling; never blocks. */
    void end() {
        ended = true;
        loop.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until the warm-up has ended and its sockets are closed.
     *
     * @return whether it has ended in time
     */
    boolean awaitEnd(Duration timeout) {
        return loop.terminationFuture().awaitUninterruptibly(timeout.toMillis());
    }

    /** Returns the number of requests that were answered; to be called after the end. */
    int requests() {
        return requests;
    }

    /** Returns what has ended it other than its bound or a call; to be called after the end. */
    Optional<Throwable> failure() {
        return Optional.ofNullable(failure.get());
    }

    private void open() {
        budget = new WarmUpBudget(processorShare, processorTime.get(), BootClock.nanos());
        RouteTable routes =
                ConfigurationDecoder.decode(bytes(TrainingMessages.WARM_UP_CONFIGURATION)).get();
        listen(new WarmUpUpstream(), upstream -> openGateway(routes, upstream));
    }

    private void openGateway(RouteTable routes, InetSocketAddress upstream) {
        String address = upstream.getAddress().getHostAddress() + ":" + upstream.getPort();
        List<Instance> instances =
                List.of(
                        instance("engine", TrainingMessages.heartbeat(address, 1)),
                        instance("plain", TrainingMessages.plainHeartbeat(address, 1)));
        LoopbackGateway gateway =
                new LoopbackGateway(
                        loop, ZONE, routes, instances, TrainingMessages.DENIED_CUSTOMER);
        listen(gateway.callerChannels(), this::next);
    }

    private static Instance instance(String name, String heartbeat) {
        return RegistrationDecoder.decode(name, bytes(heartbeat)).get();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void listen(ChannelHandler channels, Consumer<InetSocketAddress> then) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(channels)
                .bind(InetAddress.getLoopbackAddress(), 0)
                .addListener(
                        (ChannelFutureListener)
                                bound ->
                                        whenDone(
                                                bound,
                                                () ->
                                                        then.accept(
                                                                (InetSocketAddress)
                                                                        bound.channel()
                                                                                .localAddress())));
    }

    private void next(SocketAddress gateway) {
        Duration total = processorTime.get();
        used = budget.used(total);
        switch (budget.next(total, BootClock.nanos())) {
            case WarmUpBudget.Step.Proceed() -> call(gateway);
            case WarmUpBudget.Step.Pause(Duration time) ->
                    loop.schedule(
                            () -> guarded(() -> next(gateway)),
                            time.toNanos(),
                            TimeUnit.NANOSECONDS);
            case WarmUpBudget.Step.End() -> end();
        }
    }

    private Duration maxProcessorTime() {
        return Duration.ofNanos(Math.round(processorShare * activeNanos));
    }

    private void call(SocketAddress gateway) {
        roundStartedAt = BootClock.nanos();
        WarmUpCaller caller = new WarmUpCaller(++round, new RoundListener(gateway));
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline().addLast(new HttpResponseDecoder(), caller);
                            }
                        })
                .connect(gateway)
                .addListener((ChannelFutureListener) connected -> whenDone(connected, () -> {}));
    }

    private void whenDone(ChannelFuture future, Runnable then) {
        if (future.isSuccess()) {
            guarded(then);
        } else {
            fail(future.cause());
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    private void fail(Throwable cause) {
        if (!ended) {
            failure.compareAndSet(null, cause);
            end();
        }
    }

    private Thread newThread(Runnable task) {
        Thread thread = new FastThreadLocalThread(() -> run(task), THREAD_NAME);
        thread.setDaemon(true);
        return thread;
    }

    /** Runs the event loop until it has ended, without the lines of the gateway. */
    private void run(Runnable eventLoop) {
        MutedLines.run(eventLoop);
        if (!started) {
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - startedAt);
        if (failure.get() == null) {
            logger.info(
                    "warm-up.ended requests={} processorMs={} elapsedMs={}",
                    requests,
                    used.toMillis(),
                    elapsedMillis);
        } else {
            logger.warn(
                    "warm-up.failed requests={} elapsedMs={} cause={}",
                    requests,
                    elapsedMillis,
                    failure.get().toString());
        }
    }

    /** Goes on with the next caller once one has finished. */
    private final class RoundListener implements WarmUpCaller.Listener {

        private final SocketAddress gateway;

        RoundListener(SocketAddress gateway) {
            this.gateway = gateway;
        }

        @Override
        public void answered() {
            requests++;
        }

        @Override
        public void finished() {
            activeNanos += BootClock.nanos() - roundStartedAt;
            guarded(() -> next(gateway));
        }

        @Override
        public void failed(Throwable cause) {
            fail(cause);
        }
    }
}
