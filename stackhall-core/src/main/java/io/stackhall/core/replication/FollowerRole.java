package io.stackhall.core.replication;

import java.util.List;
import java.util.Optional;

/** Handles the entries and snapshots that a follower receives from its leader. */
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
     * Marks this replica as caught up once an entry of the leader's term is committed. Only then
     * does the leader know every entry committed in earlier terms; before, its commit index may be
     * far behind.
     */
    private void checkCaughtUp(long leaderTerm) {
        if (state.log().termAt(state.commit()) == leaderTerm) {
            state.caughtUp();
        }
    }

    /**
     * Installs a snapshot, unless the log already contains the entry it ends with. Entries after
     * that one were acknowledged to the leader and must not be dropped.
     */
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

    /** Appends the entries that are not in the log yet, dropping local entries that conflict. */
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
                    "entry " + first + " conflicts with a committed entry of " + state.self());
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
