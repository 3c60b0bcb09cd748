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
final class Formations {

    /** Answers to older asks than this many before the last one are forgotten. */
    private static final int REMEMBERED_ASKS = 6;

    private static final long FIRST_TERM = 1;

    private final ReplicaState state;
    private final Map<String, Hello> heard = new HashMap<>();
    private final Map<String, Hello> answered = new HashMap<>();
    private long nextHello;
    private long lastAsk;
    private long firstValidAsk = 1;
    private long settledAt;

    Formations(ReplicaState state, long now) {
        this.state = state;
        this.settledAt = now;
        this.nextHello = now;
    }

    /** Notes who a host's replica is, and answers. */
    void hear(Hello hello, long now) {
        heard.put(hello.replica().host(), hello);
        if (hello.answers() != 0) {
            answered.put(hello.replica().host(), hello);
        }
        if (hello.ask() != 0) {
            Hello answer = ownHello(0, hello.ask());
            state.emit(new ReplicaEffect.Answer(hello.replica().host(), answer));
        }
        boolean strayed = hello.formation() != state.formation();
        if (strayed && leads(hello.replica())) {
            sendForm(hello.replica());
        }
    }

    void tick(long now) {
        if (state.role() == Role.LEADER || (state.leader().isPresent() && state.voter())) {
            firstValidAsk = lastAsk + 1;
            return;
        }
        considerForming(now);
        if (now - nextHello >= 0) {
            nextHello = now + state.settings().electionTimeout().toNanos() / 2;
            lastAsk++;
            state.emit(new ReplicaEffect.Announce(ownHello(lastAsk, 0)));
        }
    }

    /** Returns whether a message from another formation makes this empty replica part of it. */
    boolean adopts(Message message) {
        boolean fromLeader =
                message.body() instanceof Message.SnapshotRequest
                        || message.body() instanceof Message.AppendRequest;
        if (!state.fresh() || !fromLeader) {
            return false;
        }
        state.saveHard(new HardState(message.formation(), message.term(), Optional.empty()));
        return true;
    }

    void receive(Message message, Message.Form form, long now) {
        if (!form.membership().contains(state.self())
                || message.formation() == state.formation()
                || !yieldsTo(form)) {
            return;
        }
        long term = Math.max(message.term(), state.term());
        state.saveHard(new HardState(message.formation(), term, Optional.empty()));
        state.becomeFollower(term, Optional.empty());
        state.resetElectionDeadline(now);
        settle(now);
    }

    private boolean yieldsTo(Message.Form form) {
        if (state.fresh()) {
            return true;
        }
        boolean theirsIsBetter =
                compareLogs(form.lastTerm(), form.lastIndex(), lastTerm(), lastIndex()) >= 0;
        return theirsIsBetter && quorumIsGone();
    }

    private void considerForming(long now) {
        if (state.leader().isPresent()
                || !founder()
                || now - settledAt < 0
                || !everyHostHeard()
                || !best()
                || (!state.fresh() && !quorumIsGone())) {
            return;
        }
        List<ReplicaId> all = new ArrayList<>(List.of(state.self()));
        answered.values().stream()
                .map(Hello::replica)
                .filter(replica -> state.hosts().contains(replica.host()))
                .forEach(all::add);
        found(new Membership(all, List.of()), now);
    }

    private void found(Membership membership, long now) {
        long formation = state.random().nextLong(1, Long.MAX_VALUE);
        boolean lost = memoryLost();
        long term = state.term() + FIRST_TERM;
        state.saveHard(new HardState(formation, term, Optional.empty()));
        long index = state.log().lastIndex();
        state.appendOwn(
                List.of(
                        new Entry(term, index + 1, new Payload.MembershipChange(membership)),
                        new Entry(term, index + 2, new Payload.Reformed(lost))));
        for (ReplicaId other : membership.othersThan(state.self())) {
            sendForm(other);
        }
        state.becomeFollower(term, Optional.empty());
        state.standNow(now);
        settle(now);
    }

    /** Gives the new formation time to elect a leader. */
    private void settle(long now) {
        settledAt = now + 2 * state.settings().electionTimeout().toNanos();
        firstValidAsk = lastAsk + 1;
    }

    private boolean leads(ReplicaId replica) {
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
    private boolean memoryLost() {
        if (!state.fresh()) {
            return true;
        }
        return !state.durable() && answered.values().stream().noneMatch(Hello::durable);
    }

    /** Returns whether every host has answered a recent ask of the time without a leader. */
    private boolean everyHostHeard() {
        long oldest = Math.max(firstValidAsk, lastAsk - REMEMBERED_ASKS);
        return state.hosts().stream()
                .filter(host -> !host.equals(state.self().host()))
                .allMatch(host -> answeredSince(host, oldest));
    }

    private boolean answeredSince(String host, long oldestAsk) {
        Hello answer = answered.get(host);
        return answer != null
                && answer.answers() >= oldestAsk
                && answer.replica().equals(heard.get(host).replica());
    }

    /** Returns whether this replica may found the group at all. */
    private boolean founder() {
        return state.hosts().contains(state.self().host());
    }

    /** Never where hosts come and go: one that is not heard of may still hold the log elsewhere. */
    private boolean quorumIsGone() {
        if (state.settings().open() || !everyHostHeard()) {
            return false;
        }
        long alive = state.membership().voters().stream().filter(this::alive).count();
        return alive < state.membership().quorum();
    }

    /**
     * A voter is known to be gone once its host has spoken with another incarnation. That is never
     * taken back, so an old message can delay the verdict but not falsify it.
     */
    private boolean alive(ReplicaId voter) {
        Hello latest = heard.get(voter.host());
        return voter.equals(state.self()) || (latest != null && latest.replica().equals(voter));
    }

    /** Returns whether no other host's replica has a better claim to found the group. */
    private boolean best() {
        return answered.values().stream()
                .filter(hello -> state.hosts().contains(hello.replica().host()))
                .allMatch(this::notBetter);
    }

    private boolean notBetter(Hello other) {
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
