package io.stackhall.core.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** State shared by the parts of one replica: log, hard state, role, timers and pending effects. */
final class ReplicaState {

    /** Longer than one vote, which takes some milliseconds including two disk syncs. */
    private static final long RESTART_ELECTION_STAGGER_NANOS = Duration.ofMillis(60).toNanos();

    private final ReplicaId self;
    private final boolean durable;
    private final Set<String> hosts;
    private final ReplicaSettings settings;
    private final RandomGenerator random;
    private final EntryLog log;

    private HardState hardState;
    private Role role = Role.FOLLOWER;
    private Optional<ReplicaId> leader = Optional.empty();
    private long commit;
    private boolean caughtUp;
    private long electionDeadline;
    private long lastLeaderContact;
    private List<ReplicaEffect> effects = new ArrayList<>();

    ReplicaState(
            ReplicaId self,
            boolean durable,
            Set<String> hosts,
            ReplicaSettings settings,
            RandomGenerator random,
            SavedState saved,
            long now) {
        this.self = self;
        this.durable = durable;
        this.hosts = Set.copyOf(hosts);
        this.settings = settings;
        this.random = random;
        this.hardState = saved.hardState();
        this.log = new EntryLog(saved.snapshot(), saved.entries());
        this.commit = saved.snapshot().lastIndex();
        boolean mayHaveGrantedLease = saved.hardState().formation() != 0;
        long contactAge = mayHaveGrantedLease ? 0 : settings.electionTimeout().toNanos();
        this.lastLeaderContact = now - contactAge;
        resetElectionDeadline(now);
        if (mayHaveGrantedLease) {
            staggerElections(now);
        }
    }

    /**
     * Schedules the first election after a restart. When all voters restart there is no leader, and
     * no voter may vote before the leases that it may have granted have expired. The voters then
     * start their elections one after another at fixed delays instead of random ones. With random
     * delays the first election started 0.08 to 0.5 s later than possible, as the logs of three
     * restarts of all voters show.
     */
    private void staggerElections(long now) {
        int position = log.membership().voters().indexOf(self);
        if (position >= 0) {
            electionDeadline =
                    now
                            + settings.electionTimeout().toNanos()
                            + position * RESTART_ELECTION_STAGGER_NANOS;
        }
    }

    ReplicaId self() {
        return self;
    }

    boolean durable() {
        return durable;
    }

    Set<String> hosts() {
        return hosts;
    }

    ReplicaSettings settings() {
        return settings;
    }

    RandomGenerator random() {
        return random;
    }

    EntryLog log() {
        return log;
    }

    HardState hardState() {
        return hardState;
    }

    long term() {
        return hardState.term();
    }

    long formation() {
        return hardState.formation();
    }

    Role role() {
        return role;
    }

    Optional<ReplicaId> leader() {
        return leader;
    }

    long commit() {
        return commit;
    }

    Membership membership() {
        return log.membership();
    }

    /** Returns whether the log contains no entry, not even in a snapshot. */
    boolean emptyLog() {
        return log.lastIndex() == 0;
    }

    boolean isVoter() {
        return membership().voters().contains(self);
    }

    void saveHardState(HardState next) {
        if (!next.equals(hardState)) {
            hardState = next;
            emit(new ReplicaEffect.SaveHardState(next));
        }
    }

    void becomeFollower(long term, Optional<ReplicaId> newLeader) {
        if (term > hardState.term()) {
            saveHardState(hardState.withTerm(term));
        }
        leader = newLeader;
        changeRole(Role.FOLLOWER);
    }

    void changeRole(Role next) {
        if (next != role) {
            role = next;
            emit(new ReplicaEffect.RoleChanged(next, term()));
        }
    }

    void leader(Optional<ReplicaId> newLeader) {
        leader = newLeader;
    }

    void recordLeaderContact(long now) {
        lastLeaderContact = now;
        resetElectionDeadline(now);
    }

    /** Returns whether a lease that this replica granted to a leader may still be valid. */
    boolean withinGrantedLease(long now) {
        return now - lastLeaderContact < settings.electionTimeout().toNanos();
    }

    boolean electionDue(long now) {
        return now - electionDeadline >= 0;
    }

    void resetElectionDeadline(long now) {
        long base = settings.electionTimeout().toNanos();
        electionDeadline = now + base + random.nextLong(base);
    }

    void startElectionAtNextTick(long now) {
        electionDeadline = now;
    }

    /** Commits up to an index and applies the newly committed entries to the state machine. */
    void commitUpTo(long index) {
        long target = Math.min(index, log.lastIndex());
        if (target <= commit) {
            return;
        }
        List<Entry> committed = log.slice(commit + 1, target);
        commit = target;
        emit(new ReplicaEffect.Apply(committed));
    }

    /** Reports, once, that every entry committed before this replica started has been applied. */
    void caughtUp() {
        if (!caughtUp) {
            caughtUp = true;
            emit(new ReplicaEffect.CaughtUp());
        }
    }

    void restore(Snapshot snapshot) {
        log.replaceWith(snapshot);
        commit = snapshot.lastIndex();
        emit(new ReplicaEffect.SaveSnapshot(snapshot, true));
        emit(new ReplicaEffect.Restore(snapshot));
    }

    void appendLocally(List<Entry> entries) {
        log.append(entries);
        emit(new ReplicaEffect.SaveEntries(entries));
    }

    void send(ReplicaId to, long term, Message.Body body) {
        emit(new ReplicaEffect.Send(new Message(self, to, formation(), term, body)));
    }

    void emit(ReplicaEffect effect) {
        effects.add(effect);
    }

    List<ReplicaEffect> drainEffects() {
        List<ReplicaEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
