package io.stackhall.server.group;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.Replica;
import io.stackhall.core.replication.ReplicaEffect;
import io.stackhall.core.replication.ReplicaEvent;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.core.replication.Role;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.storage.StorageOpener;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs one replica on a thread of its own: feeds it events and carries its effects out in order.
 *
 * <p>Commands that wait together are appended and synced together. If the storage fails, the
 * replica takes no part until the storage can be opened, read and written again; then it begins
 * anew from what was saved, as at a start of its process. A write that failed has been answered
 * nowhere.
 */
public final class GroupHost implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(GroupHost.class);

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_BATCH = 1000;
    private static final long HAND_OVER_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A disk is used again this long after it has room; a voter that flaps disturbs the others. */
    private static final long REOPEN_MILLIS = 500;

    private final String group;
    private final ReplicaSource source;
    private final StateMachine machine;
    private final GroupWire wire;
    private final GroupListener listener;
    private final LinkedBlockingQueue<GroupInput> inputs = new LinkedBlockingQueue<>();
    private final Tickets tickets = new Tickets();
    private final Thread thread;
    private Replica replica;

    /** At the start, too: a process that was killed may have written what it never synced. */
    private boolean unsynced = true;

    private boolean leading;
    private volatile boolean failed;
    private long nextHandOver = BootClock.nanos();
    private volatile boolean closed;
    private volatile ReplicaView view;

    /**
     * Creates a replica that does not run yet.
     *
     * @param aliveSince when its process had certainly started, on the monotonic clock in
     *     nanoseconds: it has granted no lease after that
     * @throws IOException if the storage cannot be opened
     */
    public GroupHost(
            String group,
            String host,
            Set<String> members,
            ReplicaSettings settings,
            StorageOpener opener,
            GroupState state,
            GroupWire wire,
            GroupListener listener,
            RandomGenerator random,
            long aliveSince)
            throws IOException {
        this.group = group;
        this.source = new ReplicaSource(host, members, settings, opener, random);
        this.wire = wire;
        this.listener = listener;
        this.replica = source.replica(aliveSince);
        this.machine =
                new StateMachine(
                        group, state, listener, tickets, source.storage().saved().snapshot());
        this.view = ReplicaView.of(replica);
        this.thread = new Thread(this::run, "group-" + group);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Takes a message of another replica. */
    public void receive(Message message) {
        inputs.add(new GroupInput.Event(new ReplicaEvent.Received(message)));
    }

    /** Takes a hello of another host's replica. */
    public void receive(Hello hello) {
        inputs.add(new GroupInput.Event(new ReplicaEvent.HelloReceived(hello)));
    }

    /** Asks the replica, as the leader, to commit and apply a command. */
    public CompletableFuture<CommandOutcome> command(byte[] bytes) {
        return ask(bytes, false);
    }

    /** Asks the replica, as the leader, a question. */
    public CompletableFuture<CommandOutcome> query(byte[] bytes) {
        return ask(bytes, true);
    }

    /** Asks the replica, as the leader, to remove the replica of a host from the group. */
    public CompletableFuture<CommandOutcome> remove(String host) {
        CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
        inputs.add(new GroupInput.Remove(host, outcome));
        return outcome;
    }

    /** Hands leadership over, if this replica leads, before the process stops. */
    public void transfer() {
        inputs.add(new GroupInput.Event(new ReplicaEvent.Transfer(true)));
    }

    /** Returns what is seen of the replica from other threads. */
    public ReplicaView view() {
        return view;
    }

    /** Returns whether this replica holds the leader's lease at this very moment. */
    public boolean holdsLeaseNow() {
        return view.leaseUntil() - BootClock.nanos() > 0;
    }

    /** Reads the local state, which may lag behind the leader's. */
    public <T> CompletableFuture<T> readLocal(Function<GroupState, T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        inputs.add(new GroupInput.Task(() -> result.complete(reader.apply(machine.state()))));
        return result;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        source.storage().close();
    }

    private CompletableFuture<CommandOutcome> ask(byte[] bytes, boolean query) {
        CompletableFuture<CommandOutcome> outcome = new CompletableFuture<>();
        if (failed || closed) {
            outcome.complete(new CommandOutcome.Refused("the replica has stopped"));
            return outcome;
        }
        inputs.add(new GroupInput.Ask(bytes, query, outcome));
        return outcome;
    }

    private void run() {
        long nextTick = BootClock.nanos();
        List<GroupInput> batch = new ArrayList<>();
        while (!closed) {
            try {
                long wait = Math.max(0, nextTick - BootClock.nanos());
                GroupInput first = inputs.poll(wait, TimeUnit.NANOSECONDS);
                if (first != null) {
                    batch.add(first);
                    inputs.drainTo(batch, MAX_BATCH);
                }
                take(batch);
                batch.clear();
                if (BootClock.nanos() - nextTick >= 0) {
                    nextTick = BootClock.nanos() + TICK_NANOS;
                    step(new ReplicaEvent.Tick());
                }
                afterSteps();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            } catch (IOException | RuntimeException e) {
                fail(e);
                // What has been proposed may be on the disk: its outcome is unknown, not refused.
                tickets.endAll(new CommandOutcome.Unknown("the replica's storage has failed"));
                batch.forEach(GroupInput::refuse);
                batch.clear();
                if (!beginAgain()) {
                    break;
                }
            }
        }
        failed = true;
        refuseInputs();
        tickets.endAll(new CommandOutcome.Unknown("the replica has stopped"));
    }

    /**
     * Waits until the storage can be used, and begins anew from it.
     *
     * @return whether it could; what is kept in memory alone is lost for good
     */
    private boolean beginAgain() {
        while (!closed && source.storage().durable()) {
            try {
                TimeUnit.MILLISECONDS.sleep(REOPEN_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
            refuseInputs();
            if (reopen()) {
                failed = false;
                return true;
            }
        }
        return false;
    }

    private boolean reopen() {
        try {
            source.reopen();
        } catch (IOException | RuntimeException e) {
            logger.warn("group.storage-unusable group={} cause={}", group, e.toString());
            return false;
        }
        replica = source.replica(BootClock.nanos());
        unsynced = false;
        view = ReplicaView.of(replica);
        logger.info("group.storage-back group={} applied={}", group, machine.appliedIndex());
        return true;
    }

    private void refuseInputs() {
        List<GroupInput> left = new ArrayList<>();
        inputs.drainTo(left);
        left.forEach(GroupInput::refuse);
    }

    private void take(List<GroupInput> batch) throws IOException {
        List<ReplicaEvent.Proposal> proposals = new ArrayList<>();
        for (GroupInput input : batch) {
            switch (input) {
                case GroupInput.Ask ask when ask.query() ->
                        step(new ReplicaEvent.Read(tickets.issue(ask.outcome(), ask.bytes())));
                case GroupInput.Ask ask when !source.storage().hasRoom() -> {
                    ask.outcome().complete(new CommandOutcome.Refused("the disk is nearly full"));
                    leaveLeadershipToOneWithRoom();
                }
                case GroupInput.Ask ask ->
                        proposals.add(
                                new ReplicaEvent.Proposal(
                                        tickets.issue(ask.outcome()), ask.bytes()));
                case GroupInput.Event(ReplicaEvent event) -> step(event);
                case GroupInput.Remove(String host, CompletableFuture<CommandOutcome> outcome) ->
                        step(new ReplicaEvent.RemoveReplica(tickets.issue(outcome), host));
                case GroupInput.Task(Runnable task) -> task.run();
            }
        }
        if (!proposals.isEmpty()) {
            step(new ReplicaEvent.Propose(proposals));
        }
    }

    /** Not at once again: none of the others may have room either. */
    private void leaveLeadershipToOneWithRoom() throws IOException {
        long now = BootClock.nanos();
        if (now - nextHandOver >= 0) {
            nextHandOver = now + HAND_OVER_NANOS;
            logger.warn("group.disk-full group={}", group);
            step(new ReplicaEvent.Transfer(false));
        }
    }

    private void step(ReplicaEvent event) throws IOException {
        for (ReplicaEffect effect : replica.step(event, BootClock.nanos())) {
            carryOut(effect);
        }
    }

    private void carryOut(ReplicaEffect effect) throws IOException {
        switch (effect) {
            case ReplicaEffect.SaveHardState(var hardState) -> {
                source.storage().saveHardState(hardState);
                unsynced = true;
            }
            case ReplicaEffect.SaveEntries(List<Entry> entries) -> {
                source.storage().saveEntries(entries);
                unsynced = true;
            }
            case ReplicaEffect.SaveSnapshot(Snapshot snapshot, boolean dropLog) -> {
                source.storage().saveSnapshot(snapshot, dropLog);
                machine.covered(snapshot);
                unsynced = false;
            }
            case ReplicaEffect.Send(Message message) -> {
                syncIfNeeded();
                wire.send(group, message);
            }
            case ReplicaEffect.BroadcastHello(Hello hello) -> wire.announce(group, hello);
            case ReplicaEffect.SendHello(String host, Hello hello) ->
                    wire.answer(group, host, hello);
            case ReplicaEffect.Apply(List<Entry> entries) -> {
                syncIfNeeded();
                machine.apply(entries);
            }
            case ReplicaEffect.Restore(Snapshot snapshot) -> machine.restore(snapshot);
            case ReplicaEffect.CaughtUp() -> machine.caughtUp();
            case ReplicaEffect.Accepted(long ticket, long ignored, long index) ->
                    tickets.accepted(ticket, index);
            case ReplicaEffect.Refused(long ticket, String reason) ->
                    tickets.complete(ticket, new CommandOutcome.Refused(reason));
            case ReplicaEffect.ReadReady(long ticket) -> {
                byte[] answer = machine.state().query(tickets.takeQuestion(ticket));
                tickets.complete(ticket, new CommandOutcome.Done(answer));
            }
            case ReplicaEffect.RoleChanged(Role role, long term) -> roleChanged(role, term);
        }
    }

    private void syncIfNeeded() throws IOException {
        if (unsynced) {
            source.storage().sync();
            unsynced = false;
        }
    }

    private void roleChanged(Role role, long term) {
        logger.info("group.role group={} role={} term={}", group, role, term);
        if (role != Role.LEADER) {
            tickets.leadershipLost();
        }
    }

    private void afterSteps() throws IOException {
        syncIfNeeded();
        if (machine.snapshotDue() && machine.appliedIndex() <= replica.commitIndex()) {
            step(new ReplicaEvent.Compact(machine.appliedIndex(), machine.state().snapshot()));
        }
        view = ReplicaView.of(replica);
        boolean leads = replica.holdsLease(BootClock.nanos());
        if (leads != leading) {
            leading = leads;
            listener.led(leads);
        }
    }

    private void fail(Exception cause) {
        logger.error("group.failed group={} {}", group, cause.toString(), cause);
        failed = true;
        if (leading) {
            leading = false;
            listener.led(false);
        }
    }
}
