package io.stackhall.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One replica of a replicated log, as a plain object that takes events and returns effects.
 *
 * <p>The protocol is Raft with pre-votes, leader leases, snapshots, and membership changes of one
 * replica at a time. It lets a few processes agree on a sequence of commands and survive the
 * failure of a minority of them. The driver passes in events on a single thread, with the time of
 * the host's monotonic clock, and performs the returned effects in order.
 *
 * @see ReplicaEvent
 * @see ReplicaEffect
 */
public final class Replica {

    private final ReplicaState state;
    private final Elections elections;
    private final LeaderRole leaderRole;
    private final FollowerRole followerRole;
    private final GroupFormation groupFormation;

    /**
     * Creates a replica.
     *
     * @param self id of this replica
     * @param durable whether saved state survives a restart of the process
     * @param hosts every host that may run a replica of the group; with dynamic membership only the
     *     hosts that form the group, and empty on a host that only joins
     * @param settings timeouts and limits
     * @param random source of election delays and formation numbers
     * @param saved the state found in storage
     * @param now the monotonic clock, in nanoseconds
     */
    public Replica(
            ReplicaId self,
            boolean durable,
            Set<String> hosts,
            ReplicaSettings settings,
            RandomGenerator random,
            SavedState saved,
            long now) {
        if (!settings.dynamicMembership() && !hosts.contains(self.host())) {
            throw new IllegalArgumentException(self + " is not on a host of the group: " + hosts);
        }
        state = new ReplicaState(self, durable, hosts, settings, random, saved, now);
        leaderRole = new LeaderRole(state);
        elections = new Elections(state, leaderRole);
        followerRole = new FollowerRole(state);
        groupFormation = new GroupFormation(state, now);
    }

    /**
     * Processes one event.
     *
     * @param event the event
     * @param now the monotonic clock, in nanoseconds
     * @return the effects to perform, in order
     */
    public List<ReplicaEffect> step(ReplicaEvent event, long now) {
        switch (event) {
            case ReplicaEvent.Tick() -> tick(now);
            case ReplicaEvent.Received(Message message) -> receive(message, now);
            case ReplicaEvent.HelloReceived(Hello hello) -> receiveHello(hello, now);
            case ReplicaEvent.Propose(List<ReplicaEvent.Proposal> proposals) ->
                    leaderRole.propose(proposals, now);
            case ReplicaEvent.Read(long ticket) -> leaderRole.read(ticket, now);
            case ReplicaEvent.Compact(long index, byte[] bytes) -> compact(index, bytes);
            case ReplicaEvent.Transfer(boolean stopping) -> leaderRole.transfer(stopping, now);
            case ReplicaEvent.RemoveReplica(long ticket, String host) ->
                    leaderRole.removeReplica(ticket, host, now);
        }
        return state.drainEffects();
    }

    /** Returns this replica's id. */
    public ReplicaId id() {
        return state.self();
    }

    /** Returns the current role. */
    public Role role() {
        return state.role();
    }

    /** Returns the current term. */
    public long term() {
        return state.term();
    }

    /**
     * Returns the number of the formation that this replica belongs to, or 0 for none. Terms are
     * comparable only within one formation.
     */
    public long formation() {
        return state.formation();
    }

    /** Returns the current leader, which may be this replica, if one is known. */
    public Optional<ReplicaId> leader() {
        return state.leader();
    }

    /** Returns the index of the last entry known to be committed. */
    public long commitIndex() {
        return state.commit();
    }

    /** Returns the index of the last entry in the log. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Returns the index of the last entry that the latest snapshot covers. */
    public long snapshotIndex() {
        return state.log().snapshot().lastIndex();
    }

    /** Returns the membership in force. */
    public Membership membership() {
        return state.membership();
    }

    /**
     * Returns whether this replica is guaranteed to be the only leader now: its lease, which starts
     * when the renewing broadcast was sent, has not expired, and an entry of its own term is
     * committed.
     *
     * @param now the monotonic clock, in nanoseconds
     */
    public boolean holdsLease(long now) {
        return state.role() == Role.LEADER && leaderRole.holdsLease(now);
    }

    /**
     * Returns the expiry time of the lease, on the monotonic clock in nanoseconds, or {@code now}
     * if this replica holds none.
     *
     * @param now the monotonic clock, in nanoseconds
     */
    public long leaseUntil(long now) {
        return holdsLease(now) ? leaderRole.leaseExpiry() : now;
    }

    private void tick(long now) {
        groupFormation.tick(now);
        if (state.role() == Role.LEADER) {
            leaderRole.tick(now);
        } else {
            elections.tick(now);
        }
    }

    private void receiveHello(Hello hello, long now) {
        boolean named = state.hosts().contains(hello.replica().host());
        if (!(named || state.settings().dynamicMembership())
                || hello.replica().equals(state.self())) {
            return;
        }
        groupFormation.receiveHello(hello, now);
        leaderRole.receiveHello(hello, now);
    }

    private void receive(Message message, long now) {
        if (!message.to().equals(state.self())) {
            return;
        }
        if (message.body() instanceof Message.Form form) {
            groupFormation.handleForm(message, form, now);
            return;
        }
        if (message.formation() != state.formation() && !groupFormation.adoptFormation(message)) {
            return;
        }
        switch (message.body()) {
            case Message.VoteRequest request -> elections.handleVoteRequest(message, request, now);
            case Message.VoteReply reply -> elections.handleVoteReply(message, reply, now);
            case Message.AppendRequest request ->
                    followerRole.handleAppendRequest(message, request, now);
            case Message.AppendReply reply -> leaderRole.handleAppendReply(message, reply, now);
            case Message.SnapshotRequest request ->
                    followerRole.handleSnapshotRequest(message, request, now);
            case Message.TimeoutNow ignored -> handleTransfer(message, now);
            case Message.Form ignored ->
                    throw new IllegalStateException("Form messages are handled before");
        }
    }

    /**
     * Starts the election that a leader has asked for as it stepped down. It overrides the lease of
     * the leader, so that a message of an earlier term would depose a leader that relies on its
     * own.
     */
    private void handleTransfer(Message message, long now) {
        if (message.term() >= state.term()) {
            elections.startElection(true, now);
        }
    }

    private void compact(long index, byte[] bytes) {
        if (index <= state.log().snapshot().lastIndex() || index > state.commit()) {
            return;
        }
        Snapshot snapshot = state.log().compact(index, bytes);
        state.emit(new ReplicaEffect.SaveSnapshot(snapshot, false));
    }
}
