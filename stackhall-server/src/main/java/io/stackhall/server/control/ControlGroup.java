package io.stackhall.server.control;

import io.stackhall.core.id.HostId;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.core.replication.Role;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.group.GroupListener;
import io.stackhall.server.group.GroupWire;
import io.stackhall.server.group.ReplicaView;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.ReplicationCodec;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.FleetSettings;
import io.stackhall.server.storage.DataFolder;
import io.stackhall.server.storage.DiskStorage;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/** This host's replica of the control group, and the client that calls the group's leader. */
final class ControlGroup implements AutoCloseable {

    private static final String GROUP = "control";
    private static final long MIN_FREE_BYTES = 8 << 20;

    /** Longer than a slow disk sync (30 times 2 ms), shorter than the time a caller waits. */
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);

    private static final Duration HEARTBEAT = Duration.ofMillis(80);
    private static final Duration DRIFT_MARGIN = Duration.ofMillis(40);
    private static final int MAX_ENTRIES_PER_MESSAGE = 64;

    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final DataFolder folder;
    private final GroupHost replica;
    private final GroupClient client;

    ControlGroup(
            FleetSettings settings,
            FleetSettings.Control control,
            PeerTransport transport,
            ControlHosts hosts,
            ControlStateMachine log,
            GroupListener listener,
            RandomGenerator random,
            long aliveSince)
            throws IOException {
        this.transport = transport;
        this.hosts = hosts;
        this.folder = DataFolder.open(control.dataFolder());
        Path replicaFolder = folder.openFolder("groups", GROUP);
        int voters = 2 * settings.limits().hostLossesBorne() + 1;
        ReplicaSettings replicaSettings =
                new ReplicaSettings(
                        ELECTION_TIMEOUT, HEARTBEAT, DRIFT_MARGIN, MAX_ENTRIES_PER_MESSAGE, voters);
        this.replica =
                new GroupHost(
                        GROUP,
                        settings.peerName().value(),
                        FounderRecord.foundersOf(folder, settings),
                        replicaSettings,
                        () -> DiskStorage.open(replicaFolder, random, MIN_FREE_BYTES),
                        log,
                        new Wire(),
                        listener,
                        random,
                        aliveSince);
        Map<String, GroupHost> local = new ConcurrentHashMap<>(Map.of(GROUP, replica));
        this.client =
                new GroupClient(settings.peerName(), transport, local, group -> hosts.knownHosts());
    }

    void start() {
        replica.start();
    }

    /** Commits a command. Blocks, so call it on a virtual thread. */
    CommandOutcome command(byte[] command, Duration timeout) {
        return client.command(GROUP, command, timeout);
    }

    /** Reads the newest state. Blocks, so call it on a virtual thread. */
    CommandOutcome query(Duration timeout) {
        return query(new byte[0], timeout);
    }

    /** Runs a query against the newest state. Blocks, so call it on a virtual thread. */
    CommandOutcome query(byte[] query, Duration timeout) {
        return client.query(GROUP, query, timeout);
    }

    /** Processes a frame that belongs to the group, and returns whether it did. */
    boolean receive(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case RAFT -> replica.receive(ReplicationCodec.decode(frame.getRaft()));
            case HELLO -> replica.receive(ReplicationCodec.decode(frame.getHello()));
            case COMMAND -> client.serve(frame.getCall(), frame.getCommand(), replier);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns whether this replica is the leader and its lease holds now. */
    boolean leads() {
        return replica.view().role() == Role.LEADER && replica.holdsLeaseNow();
    }

    /** Returns the number of voters, 0 if this host is not one of them. */
    int votersOfOwnGroup() {
        ReplicaView view = replica.view();
        List<ReplicaId> voters = view.membership().voters();
        return voters.contains(view.id()) ? voters.size() : 0;
    }

    ReplicaView view() {
        return replica.view();
    }

    /** Returns the leader's host, if known. */
    Optional<HostId> leader() {
        return replica.view().leader().map(ReplicaId::host).map(HostId::new);
    }

    void transferLeadership() {
        replica.transfer();
    }

    @Override
    public void close() throws IOException {
        replica.close();
        folder.close();
    }

    /** Sends the group's messages to other hosts. */
    private final class Wire implements GroupWire {
        @Override
        public void send(String group, Message message) {
            transport.send(
                    new HostId(message.to().host()),
                    Frame.newBuilder().setRaft(ReplicationCodec.encode(group, message)).build());
        }

        @Override
        public void announce(String group, Hello hello) {
            Frame frame =
                    Frame.newBuilder().setHello(ReplicationCodec.encode(group, hello)).build();
            hosts.knownHosts().forEach(host -> transport.send(host, frame));
        }

        @Override
        public void answer(String group, String host, Hello hello) {
            transport.send(
                    new HostId(host),
                    Frame.newBuilder().setHello(ReplicationCodec.encode(group, hello)).build());
        }
    }
}
