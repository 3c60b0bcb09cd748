package io.stackhall.server.fleet;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.fleet.Introduction;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.Address;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

/** A host that says what a test has it say to other hosts, and notes what they say. */
final class FakePeer implements AutoCloseable {

    private final Address address;
    private final PeerTransport transport;
    private final List<Frame> received = new CopyOnWriteArrayList<>();

    /** Opens a host at an address; each frame that comes is noted, then handed on. */
    FakePeer(Address address, BiConsumer<Frame, Replier> handler) {
        this.address = address;
        this.transport =
                new PeerTransport(
                        address,
                        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                        FleetDaemon.PEER_TIMING);
        transport.open(
                (frame, replier) -> {
                    received.add(frame);
                    handler.accept(frame, replier);
                });
    }

    /** Keeps a connection to another host. */
    void link(Address other, Runnable connected) {
        transport.link(new HostId(other.toString()), other, connected);
    }

    boolean send(Address other, Frame frame) {
        return transport.send(new HostId(other.toString()), frame);
    }

    String name() {
        return address.toString();
    }

    /** Returns all frames that have come, in order. */
    List<Frame> received() {
        return List.copyOf(received);
    }

    /** Returns the frame in which this host says who it is. */
    Frame introduction(boolean control) {
        return Frame.newBuilder()
                .setIntroduction(
                        Introduction.newBuilder()
                                .setHost(name())
                                .setControl(control)
                                .setZone("plateau")
                                .setAnswer(true))
                .build();
    }

    @Override
    public void close() {
        transport.close();
    }
}
