package io.stackhall.server.node;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.Raft;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.group.GroupListener;
import io.stackhall.server.group.GroupState;
import io.stackhall.server.group.GroupWire;
import io.stackhall.server.group.ZoneState;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.ReplicationCodec;
import io.stackhall.server.settings.Settings;
import io.stackhall.server.storage.DataFolder;
import io.stackhall.server.storage.DiskStorage;
import io.stackhall.server.storage.MemoryStorage;
import io.stackhall.server.storage.ReplicaStorage;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * The replicas that this host runs: of the control group, of its zone's group, and of the groups of
 * other zones in which it votes as a witness.
 */
final class NodeGroups implements AutoCloseable {

    private static final int MAX_ENTRIES_PER_MESSAGE = 512;
    private static final int DRIFT_MARGIN_DIVISOR = 10;
    private static final int EVERY_HOST_VOTES = 0;

    private final Settings settings;
    private final Optional<DataFolder> dataFolder;
    private final PeerTransport transport;
    private final RandomGenerator random;
    private final Map<String, GroupHost> replicas = new ConcurrentHashMap<>();

    NodeGroups(
            Settings settings,
            Optional<DataFolder> folder,
            PeerTransport transport,
            RandomGenerator random) {
        this.settings = settings;
        this.dataFolder = folder;
        this.transport = transport;
        this.random = random;
    }

    /** Returns a live view of the opened replicas by group name. */
    Map<String, GroupHost> replicas() {
        return replicas;
    }

    /** Opens the replica of the control group, if this host is a member. */
    void openControl(ControlState state, GroupListener listener) throws IOException {
        open(Settings.CONTROL_GROUP, settings.groups().control(), state, listener);
    }

    /** Opens the replica of a zone's group, if this host is a member. */
    void openZone(ZoneId zone, ZoneState state, GroupListener listener) throws IOException {
        open(Settings.zoneGroup(zone), settings.groups().zones().get(zone), state, listener);
    }

    /** Passes a replication message to its replica; it is ignored if this host has none. */
    void receive(Raft raft) {
        GroupHost host = replicas.get(raft.getGroup());
        if (host != null) {
            host.receive(ReplicationCodec.decode(raft));
        }
    }

    /** Passes a hello to its replica; it is ignored if this host has none. */
    void receive(io.stackhall.rpc.generated.peer.Hello hello) {
        GroupHost host = replicas.get(hello.getGroup());
        if (host != null) {
            host.receive(ReplicationCodec.decode(hello));
        }
    }

    /** Transfers the leadership of every group that this host leads. */
    void transferLeaderships() {
        replicas.values().forEach(GroupHost::transfer);
    }

    @Override
    public void close() throws IOException {
        for (GroupHost host : replicas.values()) {
            host.close();
        }
    }

    private void open(String group, List<HostId> members, GroupState state, GroupListener listener)
            throws IOException {
        if (!members.contains(settings.host())) {
            return;
        }
        Set<String> names = new HashSet<>();
        members.forEach(member -> names.add(member.value()));
        GroupHost host =
                new GroupHost(
                        group,
                        settings.host().value(),
                        names,
                        replicaSettings(),
                        () -> storage(group),
                        state,
                        new Wire(members),
                        listener,
                        random,
                        BootClock.nanos());
        replicas.put(group, host);
    }

    /** Starts every opened replica. */
    void start() {
        replicas.values().forEach(GroupHost::start);
    }

    private ReplicaStorage storage(String group) throws IOException {
        if (dataFolder.isEmpty()) {
            return new MemoryStorage(random.nextLong(1, Long.MAX_VALUE));
        }
        return DiskStorage.open(
                dataFolder.get().openFolder("groups", group),
                random,
                settings.limits().leastFreeBytes());
    }

    private ReplicaSettings replicaSettings() {
        Settings.Timing timing = settings.timing();
        return new ReplicaSettings(
                timing.electionTimeout(),
                timing.heartbeat(),
                timing.electionTimeout().dividedBy(DRIFT_MARGIN_DIVISOR),
                MAX_ENTRIES_PER_MESSAGE,
                EVERY_HOST_VOTES);
    }

    /** Sends the messages of a group over the connections between hosts. */
    private final class Wire implements GroupWire {
        private final List<HostId> members;

        Wire(List<HostId> members) {
            this.members = members;
        }

        @Override
        public void send(String group, Message message) {
            Frame frame =
                    Frame.newBuilder().setRaft(ReplicationCodec.encode(group, message)).build();
            transport.send(new HostId(message.to().host()), frame);
        }

        @Override
        public void announce(String group, Hello hello) {
            Frame frame =
                    Frame.newBuilder().setHello(ReplicationCodec.encode(group, hello)).build();
            members.forEach(member -> transport.send(member, frame));
        }

        @Override
        public void answer(String group, String host, Hello hello) {
            Frame frame =
                    Frame.newBuilder().setHello(ReplicationCodec.encode(group, hello)).build();
            transport.send(new HostId(host), frame);
        }
    }
}
