package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Founds a group, and founds it again when too few replicas still hold its state.
 *
 * <p>Every host of the group must have been heard from. If no replica holds any state, the first
 * host founds the group. If some do, but too few of its voters are left for a quorum, the one with
 * the most complete log founds it again: since every host runs one process, the voters that are
 * missing are known to have lost their memory. A replica that holds no entry never stands for
 * election, so the founder's log is the one that is kept.
 */
final class GroupFormation {

    /** Answers to older asks than this many before the last one are forgotten. */
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

    /** Notes who a host's replica is, and answers. */
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

    /** Returns whether a message from another formation makes this empty replica part of it. */
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

    /** Gives the new formation time to elect a leader. */
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
     * Returns whether acknowledged commands may be missing: always after a survivor's founding, and
     * after a first one where no replica has a disk that would have kept them.
     */
    private boolean mayHaveLostCommands() {
        if (!state.emptyLog()) {
            return true;
        }
        return !state.durable() && latestAnswers.values().stream().noneMatch(Hello::durable);
    }

    /** Returns whether every host has answered a recent ask of the time without a leader. */
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

    /** Returns whether this replica may found the group at all. */
    private boolean mayForm() {
        return state.hosts().contains(state.self().host());
    }

    /** Never where hosts come and go: one that is not heard of may still hold the log elsewhere. */
    private boolean quorumLost() {
        if (state.settings().dynamicMembership() || !everyHostAnswered()) {
            return false;
        }
        long alive = state.membership().voters().stream().filter(this::mayHoldState).count();
        return alive < state.membership().quorum();
    }

    /**
     * A voter is known to be gone once its host has spoken with another incarnation. That is never
     * taken back, so an old message can delay the verdict but not falsify it.
     */
    private boolean mayHoldState(ReplicaId voter) {
        Hello latest = latestHellos.get(voter.host());
        return voter.equals(state.self()) || (latest != null && latest.replica().equals(voter));
    }

    /** Returns whether no other host's replica has a better claim to found the group. */
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
