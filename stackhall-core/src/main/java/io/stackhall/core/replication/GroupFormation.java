package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Forms a group, and forms it again when fewer voters than a quorum still hold its state.
 *
 * <p>Each time a group is formed it gets a new random formation number. Replicas ignore messages of
 * other formations.
 *
 * <p>A group is formed after every host of it has answered. If no replica holds any state, the
 * founder that sorts first forms the group. If some do, but too few of its voters are left for a
 * quorum, the replica with the most complete log forms it again: since every host runs one process,
 * a voter is known to have lost its state once its host reports another replica id. A replica with
 * an empty log never starts an election, so the log of the replica that formed the group is kept.
 *
 * <p>With dynamic membership, founders that have waited long enough form the group without those
 * that do not answer, which join later. Two groups never come about: what forms one has a quorum
 * that is more than half of all founders, so that any two quorums share a founder; and a founder
 * with an entry of a group, or without the storage that it had from the beginning, forms no other.
 */
final class GroupFormation {

    /** An answer counts until this many further hello requests have been sent. */
    private static final int RETAINED_REQUESTS = 6;

    private static final long TERM_INCREMENT = 1;

    /**
     * For this many election timeouts founders wait for each other. A group of two of three bears
     * no loss until the third has joined, which may only have been slow to start.
     */
    private static final int FOUNDER_TIMEOUTS = 10;

    private final ReplicaState state;
    private final Map<String, Hello> latestHellos = new HashMap<>();
    private final Map<String, Hello> latestAnswers = new HashMap<>();
    private long nextHello;
    private long lastRequest;
    private long firstValidRequest = 1;
    private long electionWaitEnd;
    private final long waitForFoundersUntil;

    GroupFormation(ReplicaState state, long now) {
        this.state = state;
        this.electionWaitEnd = now;
        this.nextHello = now;
        this.waitForFoundersUntil =
                now + FOUNDER_TIMEOUTS * state.settings().electionTimeout().toNanos();
    }

    /**
     * Records the replica of another host, and answers if an answer is requested. A leader also
     * sends the formation to a member that reports a different one, as does the replica that formed
     * the group until it is sure of a leader: the first message may have been lost.
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
        if (differs && (isLeaderOf(hello.replica()) || hasFormedWith(hello.replica()))) {
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
                || !accepts(form, now)) {
            return;
        }
        long term = Math.max(message.term(), state.term());
        state.saveHardState(new HardState(message.formation(), term, Optional.empty()));
        state.becomeFollower(term, Optional.empty());
        state.resetElectionDeadline(now);
        awaitElection(now);
    }

    private boolean accepts(Message.Form form, long now) {
        if (state.emptyLog()) {
            boolean promised = state.formation() != 0 && now - electionWaitEnd < 0;
            return !(state.settings().dynamicMembership() && promised);
        }
        boolean senderLogIsNewer =
                compareLogs(form.lastTerm(), form.lastIndex(), lastTerm(), lastIndex()) >= 0;
        return senderLogIsNewer && quorumLost();
    }

    private void formIfPossible(long now) {
        if (state.leader().isPresent()
                || !mayForm()
                || now - electionWaitEnd < 0
                || !(everyHostAnswered() || enoughFoundersAgree(now))
                || !preferredFounder()
                || (!state.emptyLog() && !quorumLost())) {
            return;
        }
        List<ReplicaId> all = new ArrayList<>(List.of(state.self()));
        recentAnswers().map(Hello::replica).forEach(all::add);
        form(new Membership(all, List.of()), now);
    }

    /**
     * Returns whether founders without any entry, which prefer this one, are so many that a quorum
     * of theirs is more than half of all founders, and no replica that answers holds an entry.
     */
    private boolean enoughFoundersAgree(long now) {
        boolean waited = now - waitForFoundersUntil >= 0;
        if (!state.settings().dynamicMembership() || !waited || !state.emptyLog()) {
            return false;
        }
        if (latestHellos.values().stream().anyMatch(hello -> !hello.emptyLog())) {
            return false;
        }
        List<Hello> founders = recentAnswers().filter(Hello::canForm).toList();
        boolean agreed =
                founders.stream().allMatch(hello -> hello.preferredFounder().equals(ownHost()));
        int members = founders.size() + 1;
        int quorum = members / 2 + 1;
        return agreed && 2 * quorum > state.hosts().size();
    }

    /** Returns the founder of the lowest id among those without an entry, empty for none. */
    private String lowestFounder() {
        Stream<ReplicaId> others = recentAnswers().filter(Hello::canForm).map(Hello::replica);
        Stream<ReplicaId> self =
                mayForm() && state.emptyLog() ? Stream.of(state.self()) : Stream.of();
        return Stream.concat(others, self)
                .min(Comparator.naturalOrder())
                .map(ReplicaId::host)
                .orElse("");
    }

    /** Returns the recent answers of the hosts that the group is to be formed of. */
    private Stream<Hello> recentAnswers() {
        long oldest = oldestValidRequest();
        return latestAnswers.values().stream()
                .filter(hello -> state.hosts().contains(hello.replica().host()))
                .filter(hello -> answeredSince(hello.replica().host(), oldest));
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

    private boolean hasFormedWith(ReplicaId replica) {
        return state.settings().dynamicMembership()
                && !state.emptyLog()
                && state.commit() == 0
                && state.leader().isEmpty()
                && state.membership().contains(replica);
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
        long oldest = oldestValidRequest();
        return state.hosts().stream()
                .filter(host -> !host.equals(ownHost()))
                .allMatch(host -> answeredSince(host, oldest));
    }

    private long oldestValidRequest() {
        return Math.max(firstValidRequest, lastRequest - RETAINED_REQUESTS);
    }

    private String ownHost() {
        return state.self().host();
    }

    private boolean answeredSince(String host, long oldestRequest) {
        Hello answer = latestAnswers.get(host);
        return answer != null
                && answer.answers() >= oldestRequest
                && answer.replica().equals(latestHellos.get(host).replica());
    }

    /** Returns whether the host of this replica is one of those that may form the group. */
    private boolean mayForm() {
        return state.hosts().contains(ownHost());
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
     * Returns whether this replica has the most complete log, or the lowest id among equal logs of
     * those that may form the group.
     */
    private boolean preferredFounder() {
        return recentAnswers().allMatch(this::precedes);
    }

    private boolean precedes(Hello other) {
        int order = compareLogs(other.lastTerm(), other.lastIndex(), lastTerm(), lastIndex());
        if (order != 0) {
            return order < 0;
        }
        return !other.founder() || state.self().compareTo(other.replica()) < 0;
    }

    private Hello ownHello(long ask, long answers) {
        return new Hello(
                state.self(),
                state.durable(),
                state.formation(),
                lastTerm(),
                lastIndex(),
                ask,
                answers,
                mayForm(),
                lowestFounder());
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
