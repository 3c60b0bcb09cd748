package io.stackhall.core.replication;

import java.util.List;
import java.util.Optional;

/** What a replica does with a leader's entries and snapshots. */
final class FollowerRole {

    private final ReplicaState state;

    FollowerRole(ReplicaState state) {
        this.state = state;
    }

    void handleAppendRequest(Message message, Message.AppendRequest request, long now) {
        if (!acceptLeader(message, now)) {
            return;
        }
        EntryLog log = state.log();
        long covered = log.snapshot().lastIndex();
        if (request.previousIndex() < covered) {
            reply(message, true, covered, request.round());
            return;
        }
        if (log.termAt(request.previousIndex()) != request.previousTerm()) {
            long hint = Math.min(log.lastIndex(), request.previousIndex() - 1);
            reply(message, false, Math.max(hint, 0), request.round());
            return;
        }
        appendNewEntries(request.entries());
        long matched = request.previousIndex() + request.entries().size();
        state.commitUpTo(Math.min(request.commit(), matched));
        if (matched >= request.commit()) {
            checkCaughtUp(message.term());
        }
        reply(message, true, matched, request.round());
    }

    /**
     * A leader knows all that was committed before it only once an entry of its own term is. Until
     * then its commit index may lie far behind.
     */
    private void checkCaughtUp(long leaderTerm) {
        if (state.log().termAt(state.commit()) == leaderTerm) {
            state.caughtUp();
        }
    }

    /** Takes a snapshot; entries that are held already were acknowledged and must stay. */
    void handleSnapshotRequest(Message message, Message.SnapshotRequest request, long now) {
        if (!acceptLeader(message, now)) {
            return;
        }
        Snapshot snapshot = request.snapshot();
        boolean held = state.log().termAt(snapshot.lastIndex()) == snapshot.lastTerm();
        if (held) {
            state.commitUpTo(snapshot.lastIndex());
        } else if (snapshot.lastIndex() > state.commit()) {
            state.restore(snapshot);
        }
        reply(message, true, snapshot.lastIndex(), request.round());
    }

    private boolean acceptLeader(Message message, long now) {
        if (message.term() < state.term()) {
            reply(message, false, 0, 0);
            return false;
        }
        state.becomeFollower(message.term(), Optional.of(message.from()));
        state.recordLeaderContact(now);
        return true;
    }

    /** Appends what is new; drops the own entries that conflict. */
    private void appendNewEntries(List<Entry> entries) {
        EntryLog log = state.log();
        int known = 0;
        while (known < entries.size()
                && log.termAt(entries.get(known).index()) == entries.get(known).term()) {
            known++;
        }
        if (known == entries.size()) {
            return;
        }
        List<Entry> added = entries.subList(known, entries.size());
        long first = added.getFirst().index();
        if (first <= state.commit()) {
            throw new IllegalStateException(
                    "entry " + first + " conflicts with a committed one of " + state.self());
        }
        if (first <= log.lastIndex()) {
            log.truncateFrom(first);
        }
        state.appendLocally(List.copyOf(added));
    }

    private void reply(Message message, boolean success, long matchIndex, long round) {
        state.send(
                message.from(), state.term(), new Message.AppendReply(success, matchIndex, round));
    }
}
