package io.stackhall.server.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Membership;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.json.Json;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** No bytes from outside make a decoder do anything but decode or refuse. */
class DecoderProperties {

    private static final String GROUP = "control";
    private static final ReplicaId HERE = new ReplicaId("a", 1);
    private static final ReplicaId THERE = new ReplicaId("b", 2);
    private static final Membership MEMBERS = new Membership(List.of(HERE), List.of(THERE));
    private static final String ANNOUNCEMENT =
            """
            {"id":"engine-1","zone":"plateau","address":"127.0.0.1:8000",
            "incarnation":1,"sequence":2,"services":[],
            "memory":{"accelerators":4,"capacityMib":320000,"reservedMib":64000,
            "resident":[{"artifact":{"id":"resumen-8b","version":"1"},"memoryMib":6000}]},
            "load":{"slots":64,"running":3,"queued":0},"fencing":{"checked":true,"highest":41},
            "leaving":false,"cachedPrefixes":[7]}""";

    @Property(tries = 2000, seed = "20261202")
    void damagedFrameIsDecodedOrRefused(@ForAll long seed) {
        Random random = new Random(seed);
        List<Frame> frames = frames();
        byte[] bytes = frames.get(random.nextInt(frames.size())).toByteArray();
        Frame damaged;
        try {
            damaged = Frame.parseFrom(damage(bytes, random));
        } catch (InvalidProtocolBufferException e) {
            return;
        }
        try {
            switch (damaged.getBodyCase()) {
                case RAFT -> assertThat(ReplicationCodec.decode(damaged.getRaft())).isNotNull();
                case HELLO -> assertThat(ReplicationCodec.decode(damaged.getHello())).isNotNull();
                default -> assertThat(damaged.getSerializedSize()).isLessThan(10_000);
            }
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageMatching("(?s).+");
        }
    }

    @Property(tries = 2000, seed = "20261202")
    void damagedAnnouncementIsReadOrRefused(@ForAll long seed) {
        byte[] valid = ANNOUNCEMENT.getBytes(StandardCharsets.UTF_8);
        assertThat(Json.read(Announcement.class, valid).load().slots()).isEqualTo(64);
        try {
            Announcement read = Json.read(Announcement.class, damage(valid, new Random(seed)));
            assertThat(read.load().slots()).isPositive();
        } catch (UncheckedIOException e) {
            assertThat(e).hasMessageMatching("(?s).+");
        }
    }

    private static List<Frame> frames() {
        List<Entry> entries =
                List.of(
                        new Entry(
                                1,
                                1,
                                new Payload.Command("command".getBytes(StandardCharsets.UTF_8))),
                        new Entry(1, 2, new Payload.MembershipChange(MEMBERS)),
                        new Entry(2, 3, new Payload.Blank()));
        return List.of(
                raft(new Message.VoteRequest(3, 2, true, false)),
                raft(new Message.AppendRequest(0, 0, entries, 2, 9)),
                raft(new Message.SnapshotRequest(new Snapshot(3, 2, MEMBERS, new byte[40]), 4)),
                raft(new Message.Form(MEMBERS, 2, 3)),
                Frame.newBuilder()
                        .setHello(
                                ReplicationCodec.encode(
                                        GROUP, new Hello(THERE, true, 1, 2, 3, 4, 5, true, "a")))
                        .build());
    }

    private static Frame raft(Message.Body body) {
        Message message = new Message(THERE, HERE, 1, 2, body);
        return Frame.newBuilder().setRaft(ReplicationCodec.encode(GROUP, message)).build();
    }

    /** Changes some bytes, and cuts or repeats a part. */
    private static byte[] damage(byte[] bytes, Random random) {
        byte[] damaged = Arrays.copyOf(bytes, 1 + random.nextInt(2 * bytes.length));
        for (int times = random.nextInt(4); times >= 0; times--) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        return damaged;
    }
}
