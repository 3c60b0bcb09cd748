package io.stackhall.server.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Membership;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.storage.ReplicaStorage;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A replica wrote an entry and was killed before the sync. Its next process read the entry back and
 * told the leader that it has it, without a sync, since nothing new was to be saved. The leader
 * counted it towards a quorum and acknowledged the change; a loss of power would then have taken
 * the entry from a replica whose word it rests on.
 *
 * <p>What settled it was the order of the calls: {@code DiskStorage.load} synced the folder and not
 * the file, and the reply was sent with no sync before it.
 */
class ReadBackEntriesTest {

    private static final ReplicaId SELF = new ReplicaId("a", 1);
    private static final ReplicaId LEADER = new ReplicaId("b", 2);
    private static final ReplicaId THIRD = new ReplicaId("c", 3);
    private static final long FORMATION = 7;
    private static final long TERM = 4;
    private static final long LAST = 2;

    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();

    @Test
    void whatIsReadBackIsSyncedBeforeTheLeaderIsTold() throws Exception {
        GroupHost host =
                new GroupHost(
                        "control",
                        SELF.host(),
                        Set.of("a", "b", "c"),
                        ReplicaSettings.standard(),
                        KilledBeforeSync::new,
                        new Nothing(),
                        new Wire(),
                        new Nobody(),
                        new Random(1),
                        BootClock.nanos());
        host.start();
        host.receive(
                new Message(
                        LEADER,
                        SELF,
                        FORMATION,
                        TERM,
                        new Message.AppendRequest(LAST, TERM, List.of(), LAST, 1)));
        assertThat(calls.poll(5, TimeUnit.SECONDS)).isEqualTo("sync");
        assertThat(calls.poll(5, TimeUnit.SECONDS)).isEqualTo("replied");
        host.close();
    }

    /** Holds an entry that was written before its process was killed, and not synced. */
    private final class KilledBeforeSync implements ReplicaStorage {
        @Override
        public long incarnation() {
            return SELF.incarnation();
        }

        @Override
        public boolean durable() {
            return true;
        }

        @Override
        public SavedState saved() {
            Membership all = new Membership(List.of(SELF, LEADER, THIRD), List.of());
            byte[] change = "change".getBytes(StandardCharsets.UTF_8);
            return new SavedState(
                    new HardState(FORMATION, TERM, Optional.of(LEADER)),
                    Snapshot.empty(),
                    List.of(
                            new Entry(TERM, 1, new Payload.MembershipChange(all)),
                            new Entry(TERM, LAST, new Payload.Command(change))));
        }

        @Override
        public void saveHardState(HardState state) {}

        @Override
        public void saveEntries(List<Entry> entries) {}

        @Override
        public void saveSnapshot(Snapshot snapshot, boolean dropLog) {}

        @Override
        public void sync() {
            calls.add("sync");
        }

        @Override
        public boolean hasRoom() {
            return true;
        }

        @Override
        public void close() {}
    }

    /** Notes replies alone. */
    private final class Wire implements GroupWire {
        @Override
        public void send(String group, Message message) {
            if (message.body() instanceof Message.AppendReply) {
                calls.add("replied");
            }
        }

        @Override
        public void announce(String group, Hello hello) {}

        @Override
        public void answer(String group, String host, Hello hello) {}
    }

    /** Keeps no state. */
    private static final class Nothing implements GroupState {
        @Override
        public byte[] apply(byte[] command) {
            return command;
        }

        @Override
        public byte[] query(byte[] question) {
            return question;
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}

        @Override
        public void reformed(boolean memoryLost) {}
    }

    /** Hears nothing. */
    private static final class Nobody implements GroupListener {
        @Override
        public void changed() {}

        @Override
        public void led(boolean leading) {}
    }
}
