package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Forms a group, and forms it again when fewer voters than a quorum still hold its state.
 *
 * <p>Each time a group is formed it gets a new random formation number. Replicas ignore messages of
 * other formations.
 *
 * <p>A group is formed only after every host of it has answered. If no replica holds any state, the
 * host that sorts first forms the group. If some do, but too few of its voters are left for a
 * quorum, the replica with the most complete log forms it again: since every host runs one process,
 * a voter is known to have lost its state once its host reports another replica id. A replica with
 * an empty log never starts an election, so the log of the replica that formed the group is kept.
 */
final class GroupFormation {

    /** An answer counts until this many further hello requests have been sent. */
    private static final int RETAINED_REQUESTS = 6;

    private static final long TERM_INCREMENT = 1;

    private final ReplicaState state;
    private final Map<String, Hello> latestHellos = new HashMap<>();
    private final Map<String, Hello> latestAnswers = new HashMap<>();
    private long nextHello;
    private long lastRequest;
    private long firstValidRequest = 1;
    private long electionWaitEnd;

    GroupFormation(ReplicaState state, long now) {
        this.state = state;
        this.electionWaitEnd = now;
        this.nextHello = now;
    }

    /**
     * Records the replica of another host, and answers if an answer is requested. A leader also
     * sends the formation to a member that reports a different one.
     */
    void receiveHello(Hello hello, long now) {
        latestHellos.put(hello.replica().host(), hello);
        if (hello.answers() != 0) {
            latestAnswers.put(hello.replica().host(), hello);
        }
        if (hello.ask() != 0) {
            Hello answer = ownHello(0, hello.ask());
            state.emit(new ReplicaEffect.SendHello(hello.replica().host(), answer));
        }
        boolean differs = hello.formation() != state.formation();
        if (differs && isLeaderOf(hello.replica())) {
            sendForm(hello.replica());
        }
    }

    void tick(long now) {
        if (state.role() == Role.LEADER || (state.leader().isPresent() && state.isVoter())) {
            firstValidRequest = lastRequest + 1;
            return;
        }
        formIfPossible(now);
        if (now - nextHello >= 0) {
            nextHello = now + state.settings().electionTimeout().toNanos() / 2;
            lastRequest++;
            state.emit(new ReplicaEffect.BroadcastHello(ownHello(lastRequest, 0)));
        }
    }

    /**
     * Joins the formation of a message if this replica has an empty log and the message comes from
     * a leader.
     *
     * @return whether this replica now belongs to the formation of the message
     */
    boolean adoptFormation(Message message) {
        boolean fromLeader =
                message.body() instanceof Message.SnapshotRequest
                        || message.body() instanceof Message.AppendRequest;
        if (!state.emptyLog() || !fromLeader) {
            return false;
        }
        state.saveHardState(new HardState(message.formation(), message.term(), Optional.empty()));
        return true;
    }

    void handleForm(Message message, Message.Form form, long now) {
        if (!form.membership().contains(state.self())
                || message.formation() == state.formation()
                || !accepts(form)) {
            return;
        }
        long term = Math.max(message.term(), state.term());
        state.saveHardState(new HardState(message.formation(), term, Optional.empty()));
        state.becomeFollower(term, Optional.empty());
        state.resetElectionDeadline(now);
        awaitElection(now);
    }

    private boolean accepts(Message.Form form) {
        if (state.emptyLog()) {
            return true;
        }
        boolean senderLogIsNewer =
                compareLogs(form.lastTerm(), form.lastIndex(), lastTerm(), lastIndex()) >= 0;
        return senderLogIsNewer && quorumLost();
    }

    private void formIfPossible(long now) {
        if (state.leader().isPresent()
                || !mayForm()
                || now - electionWaitEnd < 0
                || !everyHostAnswered()
                || !preferredFounder()
                || (!state.emptyLog() && !quorumLost())) {
            return;
        }
        List<ReplicaId> all = new ArrayList<>(List.of(state.self()));
        latestAnswers.values().stream()
                .map(Hello::replica)
                .filter(replica -> state.hosts().contains(replica.host()))
                .forEach(all::add);
        form(new Membership(all, List.of()), now);
    }

    private void form(Membership membership, long now) {
        long formation = state.random().nextLong(1, Long.MAX_VALUE);
        boolean lossPossible = mayHaveLostCommands();
        long term = state.term() + TERM_INCREMENT;
        state.saveHardState(new HardState(formation, term, Optional.empty()));
        long index = state.log().lastIndex();
        state.appendLocally(
                List.of(
                        new Entry(term, index + 1, new Payload.MembershipChange(membership)),
                        new Entry(term, index + 2, new Payload.Reformed(lossPossible))));
        for (ReplicaId other : membership.allExcept(state.self())) {
            sendForm(other);
        }
        state.becomeFollower(term, Optional.empty());
        state.startElectionAtNextTick(now);
        awaitElection(now);
    }

    /** Blocks another formation for two election timeouts, so that this one can elect a leader. */
    private void awaitElection(long now) {
        electionWaitEnd = now + 2 * state.settings().electionTimeout().toNanos();
        firstValidRequest = lastRequest + 1;
    }

    private boolean isLeaderOf(ReplicaId replica) {
        return state.role() == Role.LEADER && state.membership().contains(replica);
    }

    private void sendForm(ReplicaId to) {
        Message.Form form = new Message.Form(state.membership(), lastTerm(), lastIndex());
        state.send(to, state.term(), form);
    }

    /**
     * Returns whether acknowledged commands may be missing. They may be whenever a replica with
     * state forms the group again, and also when all replicas are empty and none of them has a disk
     * that would have kept the commands.
     */
    private boolean mayHaveLostCommands() {
        if (!state.emptyLog()) {
            return true;
        }
        return !state.durable() && latestAnswers.values().stream().noneMatch(Hello::durable);
    }

    /**
     * Returns whether every host has answered a recent hello request that was sent since this
     * replica lost its leader.
     */
    private boolean everyHostAnswered() {
        long oldest = Math.max(firstValidRequest, lastRequest - RETAINED_REQUESTS);
        return state.hosts().stream()
                .filter(host -> !host.equals(state.self().host()))
                .allMatch(host -> answeredSince(host, oldest));
    }

    private boolean answeredSince(String host, long oldestRequest) {
        Hello answer = latestAnswers.get(host);
        return answer != null
                && answer.answers() >= oldestRequest
                && answer.replica().equals(latestHellos.get(host).replica());
    }

    /** Returns whether the host of this replica is one of those that may form the group. */
    private boolean mayForm() {
        return state.hosts().contains(state.self().host());
    }

    /**
     * Returns whether fewer voters than a quorum still hold their state. With dynamic membership
     * this is never known, since an unknown host may still hold the log.
     */
    private boolean quorumLost() {
        if (state.settings().dynamicMembership() || !everyHostAnswered()) {
            return false;
        }
        long alive = state.membership().voters().stream().filter(this::mayHoldState).count();
        return alive < state.membership().quorum();
    }

    /**
     * Returns whether a voter may still hold its state: its host has not reported another
     * incarnation. An incarnation never comes back, so a delayed message can postpone the detection
     * of a loss but not cause a false one.
     */
    private boolean mayHoldState(ReplicaId voter) {
        Hello latest = latestHellos.get(voter.host());
        return voter.equals(state.self()) || (latest != null && latest.replica().equals(voter));
    }

    /**
     * Returns whether this replica has the most complete log, or the lowest id among equal logs.
     */
    private boolean preferredFounder() {
        return latestAnswers.values().stream()
                .filter(hello -> state.hosts().contains(hello.replica().host()))
                .allMatch(this::precedes);
    }

    private boolean precedes(Hello other) {
        int order = compareLogs(other.lastTerm(), other.lastIndex(), lastTerm(), lastIndex());
        if (order != 0) {
            return order < 0;
        }
        return state.self().compareTo(other.replica()) < 0;
    }

    private Hello ownHello(long ask, long answers) {
        return new Hello(
                state.self(),
                state.durable(),
                state.formation(),
                lastTerm(),
                lastIndex(),
                ask,
                answers);
    }

    private long lastTerm() {
        return state.log().lastTerm();
    }

    private long lastIndex() {
        return state.log().lastIndex();
    }

    private static int compareLogs(long term, long index, long otherTerm, long otherIndex) {
        int byTerm = Long.compare(term, otherTerm);
        return byTerm != 0 ? byTerm : Long.compare(index, otherIndex);
    }
}
