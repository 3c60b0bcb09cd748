package io.stackhall.core.replication;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Runs elections for a replica: starts them after a timeout, requests votes and grants them. */
final class Elections {

    private final ReplicaState state;
    private final LeaderRole leaderRole;
    private final Set<ReplicaId> granted = new HashSet<>();

    Elections(ReplicaState state, LeaderRole leaderRole) {
        this.state = state;
        this.leaderRole = leaderRole;
    }

    void tick(long now) {
        if (state.electionDue(now)) {
            startElection(false, now);
        }
    }

    /**
     * Starts an election.
     *
     * @param transfer whether the leader transfers its leadership to this replica; the election
     *     then skips the pre-vote
     */
    void startElection(boolean transfer, long now) {
        state.resetElectionDeadline(now);
        if (state.role() == Role.LEADER) {
            return;
        }
        state.leader(Optional.empty());
        if (!state.isVoter() || state.emptyLog()) {
            return;
        }
        granted.clear();
        if (transfer) {
            campaign(true, now);
        } else {
            state.changeRole(Role.PRE_CANDIDATE);
            requestVotes(state.term() + 1, true, false);
            voteForSelf(now);
        }
    }

    void handleVoteRequest(Message message, Message.VoteRequest request, long now) {
        boolean leaseHeld = leaseMayBeHeld(now) && !request.transfer();
        if (leaseHeld || message.term() < state.term()) {
            if (message.term() < state.term()) {
                replyVote(message, state.term(), false, request.preVote());
            }
            return;
        }
        boolean complete = upToDate(request);
        if (request.preVote()) {
            boolean grant = complete && message.term() > state.term();
            replyVote(message, grant ? message.term() : state.term(), grant, true);
            return;
        }
        if (message.term() > state.term()) {
            state.becomeFollower(message.term(), Optional.empty());
        }
        boolean canVote =
                state.hardState().vote().isEmpty()
                        || state.hardState().vote().get().equals(message.from());
        boolean grant = complete && canVote;
        if (grant) {
            state.saveHardState(state.hardState().withVote(message.from()));
            state.resetElectionDeadline(now);
        }
        replyVote(message, state.term(), grant, false);
    }

    void handleVoteReply(Message message, Message.VoteReply reply, long now) {
        if (!reply.granted()) {
            if (message.term() > state.term()) {
                state.becomeFollower(message.term(), Optional.empty());
            }
            return;
        }
        boolean expected =
                reply.preVote()
                        ? state.role() == Role.PRE_CANDIDATE && message.term() == state.term() + 1
                        : state.role() == Role.CANDIDATE && message.term() == state.term();
        if (expected && state.membership().voters().contains(message.from())) {
            granted.add(message.from());
            countVotes(now);
        }
    }

    private boolean leaseMayBeHeld(long now) {
        if (state.role() == Role.LEADER) {
            return leaderRole.holdsLease(now);
        }
        return state.withinGrantedLease(now);
    }

    private boolean upToDate(Message.VoteRequest request) {
        EntryLog log = state.log();
        if (request.lastTerm() != log.lastTerm()) {
            return request.lastTerm() > log.lastTerm();
        }
        return request.lastIndex() >= log.lastIndex();
    }

    private void replyVote(Message message, long term, boolean grant, boolean preVote) {
        state.send(message.from(), term, new Message.VoteReply(grant, preVote));
    }

    private void campaign(boolean transfer, long now) {
        state.changeRole(Role.CANDIDATE);
        state.saveHardState(state.hardState().withTerm(state.term() + 1).withVote(state.self()));
        granted.clear();
        requestVotes(state.term(), false, transfer);
        voteForSelf(now);
    }

    private void requestVotes(long term, boolean preVote, boolean transfer) {
        EntryLog log = state.log();
        for (ReplicaId voter : state.membership().voters()) {
            if (!voter.equals(state.self())) {
                state.send(
                        voter,
                        term,
                        new Message.VoteRequest(
                                log.lastIndex(), log.lastTerm(), preVote, transfer));
            }
        }
    }

    private void voteForSelf(long now) {
        granted.add(state.self());
        countVotes(now);
    }

    private void countVotes(long now) {
        long votes = state.membership().voters().stream().filter(granted::contains).count();
        if (votes < state.membership().quorum()) {
            return;
        }
        if (state.role() == Role.PRE_CANDIDATE) {
            campaign(false, now);
        } else if (state.role() == Role.CANDIDATE) {
            leaderRole.begin(now);
        }
    }
}
