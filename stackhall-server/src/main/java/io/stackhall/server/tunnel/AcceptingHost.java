package io.stackhall.server.tunnel;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.TunnelReply.Result;
import io.stackhall.server.settings.Address;
import java.util.Optional;
import java.util.function.Consumer;

/** The host that accepts tunnels of others. Used on its event loop. */
public interface AcceptingHost {

    /** Returns the address of an upstream, or empty if this host does not know it. */
    Optional<Address> address(UpstreamId id);

    /** Returns whether this host passes nothing on now. */
    boolean isDeclining();

    /** Opens a connection of this host, which does not read yet. */
    Future<Channel> connect(Address address);

    /**
     * Records bytes that have come from an upstream: this host reaches it, whether it sends
     * requests of its own there or not.
     *
     * @param openedAt when the connection was opened, on the monotonic clock in nanoseconds
     */
    void heard(UpstreamId id, long openedAt);

    /** Records that a connection to an upstream was reset before any byte had come on it. */
    void brokenOff(UpstreamId id);

    /**
     * Returns whether connections of this host to an upstream are known to fail, and its own links
     * are to blame for it.
     */
    boolean isAtFault(UpstreamId id);

    /**
     * Records that the connection of this host to an upstream has not come up, and judges what that
     * says of the upstream.
     *
     * @param refused whether it was refused, rather than timed out
     * @param judgement told what to reply
     */
    void notConnected(UpstreamId id, boolean refused, Consumer<Result> judgement);
}
