package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The leader's part of the protocol: appends, replicates and commits entries, renews the lease and
 * changes the membership.
 */
final class LeaderRole {

    private static final int SNAPSHOT_RETRY_HEARTBEATS = 10;

    private final ReplicaState state;
    private final LeaderLease lease;
    private final MembershipChangePlanner changes;
    private final Map<ReplicaId, FollowerProgress> progress = new HashMap<>();
    private long leaderSince;
    private long nextHeartbeat;
    private long firstOwnIndex;
    private boolean transferring;

    LeaderRole(ReplicaState state) {
        this.state = state;
        this.lease = new LeaderLease(state.settings().leaseNanos());
        this.changes = new MembershipChangePlanner(state);
    }

    void begin(long now) {
        state.changeRole(Role.LEADER);
        state.leader(Optional.of(state.self()));
        progress.clear();
        lease.reset();
        transferring = false;
        leaderSince = now;
        changes.leadershipStarted(now);
        firstOwnIndex = state.log().lastIndex() + 1;
        appendAndSend(List.of(new Payload.Blank()), now);
    }

    void tick(long now) {
        long electionTimeout = state.settings().electionTimeout().toNanos();
        boolean neverGranted = !lease.granted() && now - leaderSince >= 2 * electionTimeout;
        if (neverGranted || lease.expiredFor(electionTimeout, now)) {
            stepDown();
            return;
        }
        if (now - nextHeartbeat >= 0) {
            progress.values().forEach(FollowerProgress::rewindToMatch);
            broadcast(now);
        }
        if (ready() && !transferring) {
            changes.nextChange(progress, now)
                    .ifPresent(
                            next ->
                                    appendAndSend(
                                            List.of(new Payload.MembershipChange(next)), now));
        }
    }

    void receiveHello(Hello hello, long now) {
        changes.receiveHello(hello, now);
    }

    void propose(List<ReplicaEvent.Proposal> proposals, long now) {
        if (state.role() != Role.LEADER || transferring) {
            proposals.forEach(proposal -> refuse(proposal.ticket()));
            return;
        }
        long index = state.log().lastIndex();
        List<Payload> payloads = new ArrayList<>();
        for (ReplicaEvent.Proposal proposal : proposals) {
            index++;
            payloads.add(new Payload.Command(proposal.command()));
            state.emit(new ReplicaEffect.Accepted(proposal.ticket(), state.term(), index));
        }
        appendAndSend(payloads, now);
    }

    void read(long ticket, long now) {
        if (state.role() == Role.LEADER && holdsLease(now)) {
            state.emit(new ReplicaEffect.ReadReady(ticket));
        } else {
            refuse(ticket);
        }
    }

    void removeReplica(long ticket, String host, long now) {
        if (state.role() != Role.LEADER || !ready()) {
            refuse(ticket);
            return;
        }
        switch (changes.planRemoval(host, progress, now)) {
            case MembershipChangePlanner.Refused(String reason) ->
                    state.emit(new ReplicaEffect.Refused(ticket, reason));
            case MembershipChangePlanner.Next(Membership next) -> {
                long index = state.log().lastIndex() + 1;
                state.emit(new ReplicaEffect.Accepted(ticket, state.term(), index));
                appendAndSend(List.of(new Payload.MembershipChange(next)), now);
            }
        }
    }

    /**
     * Transfers leadership to the next active voter with a complete log, if there is one, and steps
     * down.
     *
     * @param stopping whether to refuse further proposals even if no voter can take over
     */
    void transfer(boolean stopping, long now) {
        if (state.role() != Role.LEADER) {
            return;
        }
        transferring |= stopping;
        Optional<ReplicaId> successor =
                state.membership().votersAfter(state.self()).stream()
                        .filter(this::caughtUp)
                        .filter(voter -> progress.get(voter).activeWithin(leaseNanos(), now))
                        .findFirst();
        successor.ifPresent(
                voter -> {
                    state.send(voter, state.term(), new Message.TimeoutNow());
                    stepDown();
                });
    }

    void handleAppendReply(Message message, Message.AppendReply reply, long now) {
        if (message.term() > state.term()) {
            state.becomeFollower(message.term(), Optional.empty());
            return;
        }
        FollowerProgress follower = progress.get(message.from());
        if (state.role() != Role.LEADER || message.term() < state.term() || follower == null) {
            return;
        }
        follower.recordReply(reply.round(), now);
        if (reply.success()) {
            follower.recordMatch(Math.min(reply.matchIndex(), state.log().lastIndex()));
            commitByQuorum();
        } else {
            follower.recordRejection(reply.matchIndex());
        }
        lease.renew(state.membership(), state.self(), progress);
        if (follower.nextIndex() <= state.log().lastIndex()) {
            sendTo(message.from(), lease.beginRound(now), now);
        }
    }

    boolean holdsLease(long now) {
        return ready() && !transferring && lease.valid(now);
    }

    long leaseExpiry() {
        return lease.expiresAt();
    }

    /**
     * Returns whether an entry of the leader's own term is committed. Only then does the commit
     * index include every entry committed in earlier terms.
     */
    private boolean ready() {
        return state.commit() >= firstOwnIndex;
    }

    private boolean caughtUp(ReplicaId voter) {
        FollowerProgress follower = progress.get(voter);
        return follower != null && follower.matchIndex() == state.log().lastIndex();
    }

    private void stepDown() {
        state.leader(Optional.empty());
        state.changeRole(Role.FOLLOWER);
    }

    private void refuse(long ticket) {
        state.emit(new ReplicaEffect.Refused(ticket, "not the leader"));
    }

    private void appendAndSend(List<Payload> payloads, long now) {
        List<Entry> entries = new ArrayList<>();
        long index = state.log().lastIndex();
        for (Payload payload : payloads) {
            index++;
            entries.add(new Entry(state.term(), index, payload));
        }
        state.appendLocally(entries);
        broadcast(now);
        commitByQuorum();
    }

    private void broadcast(long now) {
        nextHeartbeat = now + state.settings().heartbeat().toNanos();
        List<ReplicaId> others = state.membership().allExcept(state.self());
        progress.keySet().retainAll(others);
        long round = lease.beginRound(now);
        for (ReplicaId other : others) {
            sendTo(other, round, now);
        }
        lease.renew(state.membership(), state.self(), progress);
    }

    private void sendTo(ReplicaId to, long round, long now) {
        EntryLog log = state.log();
        FollowerProgress follower =
                progress.computeIfAbsent(to, key -> new FollowerProgress(log.lastIndex() + 1));
        long previous = follower.nextIndex() - 1;
        if (previous < log.snapshot().lastIndex()) {
            sendSnapshot(to, follower, round, now);
            return;
        }
        long limit = previous + state.settings().maxEntriesPerMessage();
        List<Entry> entries = log.slice(follower.nextIndex(), limit);
        follower.recordSent(previous + entries.size());
        state.send(
                to,
                state.term(),
                new Message.AppendRequest(
                        previous, log.termAt(previous), entries, state.commit(), round));
    }

    private void sendSnapshot(ReplicaId to, FollowerProgress follower, long round, long now) {
        long retry = state.settings().heartbeat().toNanos() * SNAPSHOT_RETRY_HEARTBEATS;
        Snapshot snapshot = state.log().snapshot();
        if (follower.snapshotDue(retry, now)) {
            follower.recordSnapshotSent(now);
            state.send(to, state.term(), new Message.SnapshotRequest(snapshot, round));
            return;
        }
        state.send(
                to,
                state.term(),
                new Message.AppendRequest(
                        snapshot.lastIndex(), snapshot.lastTerm(), List.of(), 0, round));
    }

    private void commitByQuorum() {
        Membership membership = state.membership();
        List<Long> matches = new ArrayList<>();
        for (ReplicaId voter : membership.voters()) {
            FollowerProgress follower = progress.get(voter);
            long own = state.log().lastIndex();
            long other = follower == null ? 0 : follower.matchIndex();
            matches.add(voter.equals(state.self()) ? own : other);
        }
        if (matches.isEmpty()) {
            return;
        }
        matches.sort(Collections.reverseOrder());
        long index = matches.get(membership.quorum() - 1);
        if (state.log().termAt(index) == state.term()) {
            long before = state.commit();
            state.commitUpTo(index);
            state.caughtUp();
            stepDownIfRemoved(before);
        }
    }

    /** Steps down if a committed membership change has removed this replica. */
    private void stepDownIfRemoved(long before) {
        boolean removed = !state.isVoter() && state.log().membershipIndex() <= state.commit();
        if (state.commit() > before && removed) {
            stepDown();
        }
    }

    private long leaseNanos() {
        return state.settings().leaseNanos();
    }
}
