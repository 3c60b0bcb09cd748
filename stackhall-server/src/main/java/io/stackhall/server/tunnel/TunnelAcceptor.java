package io.stackhall.server.tunnel;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.OpenTunnel;
import io.stackhall.rpc.generated.fleet.TunnelReply;
import io.stackhall.rpc.generated.fleet.TunnelReply.Result;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.PeerCodec;
import io.stackhall.server.settings.Address;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts the tunnels of other hosts to upstreams that this host reaches. It only ever connects to
 * an upstream itself, so that no tunnel leads into another one. Used on one event loop.
 */
public final class TunnelAcceptor {

    /**
     * The most tunnels at a time: with a connection to each side and some kilobytes, a small part
     * of what the smallest hosts have.
     */
    private static final int MAX_TUNNELS = 256;

    private final EventLoop loop;
    private final AcceptingHost host;
    private final AtomicInteger open = new AtomicInteger();

    /** Creates an acceptor. */
    public TunnelAcceptor(EventLoop loop, AcceptingHost host) {
        this.loop = loop;
        this.host = host;
    }

    /** Answers a request for a tunnel. May be called on any thread. */
    public void accept(OpenTunnel request, Channel from) {
        loop.execute(() -> acceptOnLoop(request, from));
    }

    /** Returns the number of open tunnels. May be called on any thread. */
    public int open() {
        return open.get();
    }

    private void acceptOnLoop(OpenTunnel request, Channel from) {
        UpstreamId id = UpstreamId.parse(request.getInstance());
        Optional<Address> address = host.address(id);
        if (address.isEmpty() || open.get() >= MAX_TUNNELS || host.isDeclining()) {
            refuse(from, Result.DECLINED);
            return;
        }
        if (host.isAtFault(id)) {
            refuse(from, Result.NOT_REACHED);
            return;
        }
        open.incrementAndGet();
        from.closeFuture().addListener(closed -> open.decrementAndGet());
        boolean framed = request.getFramed();
        long openedAt = BootClock.nanos();
        TunnelEnd.Listener upstream = new UpstreamSide(id, openedAt);
        host.connect(address.get())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                connected(from, (Channel) done.getNow(), framed, upstream);
                            } else {
                                notConnected(id, from, done.cause());
                            }
                        });
    }

    private void notConnected(UpstreamId id, Channel from, Throwable cause) {
        boolean refused = ConnectFailures.isRefusal(cause);
        host.notConnected(id, refused, result -> refuse(from, result));
    }

    private static void connected(
            Channel from, Channel to, boolean framed, TunnelEnd.Listener upstream) {
        if (!from.isActive()) {
            to.close();
            return;
        }
        from.writeAndFlush(reply(Result.OPEN, framed))
                .addListener(written -> join(from, to, framed, upstream));
    }

    private static void join(
            Channel from, Channel to, boolean framed, TunnelEnd.Listener upstream) {
        PeerCodec.removeAllFrom(from.pipeline());
        if (framed) {
            from.pipeline().addLast(TunnelInput.encoder());
        }
        from.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        to.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        from.pipeline().addLast(new TunnelEnd(to, TunnelEnd.Listener.NONE));
        to.pipeline().addLast(new TunnelEnd(from, upstream));
        to.config().setAutoRead(true);
        if (!from.isActive()) {
            to.close();
        }
    }

    private static void refuse(Channel from, Result result) {
        from.writeAndFlush(reply(result, false)).addListener(ChannelFutureListener.CLOSE);
    }

    private static Frame reply(Result result, boolean framed) {
        return Frame.newBuilder()
                .setTunnelReply(TunnelReply.newBuilder().setResult(result).setFramed(framed))
                .build();
    }

    /** Tells the host what the upstream's side of a tunnel shows. */
    private final class UpstreamSide implements TunnelEnd.Listener {
        private final UpstreamId id;
        private final long openedAt;

        UpstreamSide(UpstreamId id, long openedAt) {
            this.id = id;
            this.openedAt = openedAt;
        }

        @Override
        public void received() {
            host.heard(id, openedAt);
        }

        @Override
        public void resetBeforeBytes() {
            host.brokenOff(id);
        }
    }
}
