package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Which upstreams have a limit, as one host knows it, and whether the host may send them a request
 * now: with a permit of the {@link LimitKeeper}, or, once no keeper has answered for a while, in
 * one of its own turns, which are its equal share of the limit.
 *
 * <p>What an upstream tells this very host is obeyed at once; what is looser than known counts only
 * once the keeper says so.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitedUpstreams {

    /** What a request that waits has not renewed for this long is wanted no more. */
    private static final long WANT_HOLDS_NANOS = Duration.ofMillis(120).toNanos();

    /** A keeper forgets what a host wants after a second. */
    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(300).toNanos();

    /** A request that others can serve as well asks so often whether a limited one may be used. */
    private static final long SPARE_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * A permit counts so long from the moment at which it was asked for, so that a host that was
     * frozen meanwhile does not use it.
     */
    private static final long PERMIT_HOLDS_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * By then a keeper that hears nothing of this host any more leaves it its share, and a next
     * leader has usually been elected.
     */
    static final long UNLED_AFTER_NANOS = Duration.ofMillis(2200).toNanos();

    /** A turn that no request uses in this time is lost, so that unused turns do not pile up. */
    private static final long TURN_NANOS = Duration.ofMillis(500).toNanos();

    /** What waits beyond that on one host is refused long before its turn. */
    private static final int MOST_WAITING = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final HostId self;
    private final RandomGenerator random;
    private final LimitTable table = new LimitTable();
    private final Map<UpstreamId, State> states = new HashMap<>();
    private int hosts = 1;

    /** What this host has to do with one limited upstream. */
    private static final class State {
        private OptionalDouble provisional = OptionalDouble.empty();
        private Optional<HeardLimit> unconfirmed = Optional.empty();
        private long reportedAt;
        private Optional<Long> permit = Optional.empty();
        private int waiting;
        private boolean spare;
        private long wantedAt;
        private long wantedSince;
        private int askedFor;
        private long askedAt;
        private long answeredAt;
        private int returned;
        private boolean unled;
        private long nextTurn;
        private PermitWaits waits = PermitWaits.unknown();

        private boolean wants() {
            return waiting > 0 || spare;
        }

        private void wantsNothing() {
            waiting = 0;
            spare = false;
        }
    }

    /** Creates the limits of a host that knows none. */
    public LimitedUpstreams(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Takes in how many hosts share the limits. */
    public void shared(int among) {
        hosts = Math.max(1, among);
    }

    /** Returns how many upstreams have a limit. */
    public int size() {
        return states.size();
    }

    /** Returns the limit of an upstream, in requests a second over all hosts. */
    public OptionalDouble limit(UpstreamId id) {
        State state = states.get(id);
        if (state == null) {
            return OptionalDouble.empty();
        }
        return state.provisional.isPresent() ? state.provisional : table.find(id).perSecond();
    }

    /** Returns what is known of an upstream's limit when a request is sent to it. */
    public LimitRevision revision(UpstreamId id) {
        return table.find(id).revision();
    }

    /** Returns the newest word on an upstream's limit. */
    public LimitWord word(UpstreamId id) {
        return table.find(id);
    }

    /** Forgets an upstream that is gone. */
    public void forget(UpstreamId id) {
        table.forget(id);
        states.remove(id);
    }

    /**
     * Takes in what an answer says, and returns what the keeper is to be told of it.
     *
     * @param named the limit that the answer names, or nothing where it names none
     * @param basis {@link #revision} when the request was sent
     */
    public Optional<HeardLimit> named(
            UpstreamId id, OptionalDouble named, LimitRevision basis, long now) {
        State state = states.get(id);
        if (state == null && named.isEmpty()) {
            return Optional.empty();
        }
        if (state != null && state.provisional.isPresent()) {
            return named.isPresent() ? tightened(id, state, named, basis, now) : Optional.empty();
        }
        LimitWord known = table.find(id);
        if (known.says(named)) {
            return Optional.empty();
        }
        if (known.stricter(named)) {
            return tightened(id, states.computeIfAbsent(id, key -> new State()), named, basis, now);
        }
        boolean knew = state != null && basis.compareTo(known.revision()) >= 0;
        if (!knew || now - state.reportedAt < ASK_AGAIN_NANOS) {
            return Optional.empty();
        }
        state.reportedAt = now;
        return Optional.of(new HeardLimit(id, named, basis));
    }

    private static Optional<HeardLimit> tightened(
            UpstreamId id, State state, OptionalDouble named, LimitRevision basis, long now) {
        if (state.provisional.isPresent()
                && state.provisional.getAsDouble() <= named.getAsDouble()) {
            return Optional.empty();
        }
        state.provisional = named;
        state.unconfirmed = Optional.of(new HeardLimit(id, named, basis));
        state.reportedAt = now;
        return state.unconfirmed;
    }

    /** Takes in what the keeper says, and returns whether it is news. */
    public boolean told(LimitWord word) {
        if (!table.merge(word)) {
            return false;
        }
        if (word.limited()) {
            State state = states.computeIfAbsent(word.upstream(), key -> new State());
            state.provisional = OptionalDouble.empty();
            state.unconfirmed = Optional.empty();
        } else {
            states.remove(word.upstream());
        }
        return true;
    }

    /** Returns whether this host may send an upstream a request now. */
    public boolean allows(UpstreamId id, long now) {
        State state = states.get(id);
        return state == null || permitted(state, now) || inTurn(state, now);
    }

    private static boolean permitted(State state, long now) {
        return state.permit.filter(until -> now - until < 0).isPresent();
    }

    private static boolean inTurn(State state, long now) {
        long since = now - state.nextTurn;
        return state.unled && since >= 0 && since < TURN_NANOS;
    }

    /** Notes that a request is sent to an upstream. */
    public void sent(UpstreamId id, long now) {
        State state = states.get(id);
        if (state == null) {
            return;
        }
        state.waiting = Math.max(0, state.waiting - 1);
        if (permitted(state, now)) {
            state.permit = Optional.empty();
        } else if (inTurn(state, now)) {
            state.nextTurn += period(id);
        } else {
            // Sent without a permit all the same, which the keeper has to count.
            state.returned--;
        }
    }

    /** Gives back a permit that this host has and must not use. */
    public void giveBack(UpstreamId id, long now) {
        State state = states.get(id);
        if (state != null && permitted(state, now)) {
            state.permit = Optional.empty();
            state.returned++;
        }
    }

    /** Notes that a request for which {@link #sent} was called was not written. */
    public void notWritten(UpstreamId id) {
        State state = states.get(id);
        if (state != null && !state.unled) {
            state.returned++;
        }
    }

    /** All requests that wait are about to be looked at anew, each of which says so again. */
    public void recount() {
        states.values().forEach(state -> state.waiting = 0);
    }

    /**
     * Notes that a request waits which only this upstream can serve now.
     *
     * @return when this host's requests may expect to be sent, in their order
     */
    public PermitWaits await(UpstreamId id, long now) {
        State state = states.get(id);
        if (state == null) {
            return PermitWaits.unknown();
        }
        wanted(state, now);
        state.waiting = Math.min(MOST_WAITING, state.waiting + 1);
        return state.waits.after(Duration.ofNanos(now - state.answeredAt));
    }

    /** Returns whether a request that others serve as well should ask whether it may be used. */
    public boolean spareDue(UpstreamId id, long now) {
        State state = states.get(id);
        return state != null
                && !state.wants()
                && !permitted(state, now)
                && now - state.askedAt >= SPARE_NANOS;
    }

    /** Notes that a request could be sent to this upstream which others serve as well. */
    public void spare(UpstreamId id, long now) {
        State state = states.get(id);
        if (state != null) {
            wanted(state, now);
            state.spare = true;
        }
    }

    private static void wanted(State state, long now) {
        boolean anew = now - state.wantedAt > WANT_HOLDS_NANOS;
        state.wantedSince = anew ? now : state.wantedSince;
        state.wantedAt = now;
    }

    /** Takes in a keeper's answer, and returns whether it lets a request go. */
    public boolean answered(PermitAnswer answer, long now) {
        State state = states.get(answer.upstream());
        if (state == null) {
            return false;
        }
        state.answeredAt = now;
        state.unled = false;
        state.waits = answer.waits();
        if (!answer.granted()) {
            return false;
        }
        state.askedFor = Math.max(0, state.askedFor - 1);
        long until = answer.askedAt() + PERMIT_HOLDS_NANOS;
        if (now - until >= 0 || permitted(state, now)) {
            state.returned++;
            return false;
        }
        state.permit = Optional.of(until);
        return true;
    }

    /** Returns what keepers are to be told now. */
    public List<PermitWant> wants(long now) {
        List<PermitWant> due = new ArrayList<>();
        states.forEach((id, state) -> next(id, state, now).ifPresent(due::add));
        return due;
    }

    private Optional<PermitWant> next(UpstreamId id, State state, long now) {
        if (now - state.wantedAt > WANT_HOLDS_NANOS) {
            state.wantsNothing();
        }
        dropOldPermit(state, now);
        takeTurns(id, state, now);
        // The permit at hand is for the first of those that wait.
        int alone = Math.max(0, state.waiting - (permitted(state, now) ? 1 : 0));
        boolean spare = state.spare && alone == 0 && !permitted(state, now);
        boolean changed = spare || alone != state.askedFor;
        boolean again = alone > 0 && now - state.askedAt >= ASK_AGAIN_NANOS;
        if (!changed && !again && state.returned == 0) {
            return Optional.empty();
        }
        PermitWant want = new PermitWant(self, id, alone, spare, now, state.returned, state.unled);
        state.returned = 0;
        state.askedFor = alone;
        state.spare = false;
        state.askedAt = now;
        return Optional.of(want);
    }

    private static void dropOldPermit(State state, long now) {
        if (state.permit.isPresent() && !permitted(state, now)) {
            state.permit = Optional.empty();
            state.returned++;
        }
    }

    private void takeTurns(UpstreamId id, State state, long now) {
        if (!state.wants()) {
            return;
        }
        long silentSince = Math.max(state.answeredAt, state.wantedSince);
        if (!state.unled && now - silentSince >= UNLED_AFTER_NANOS) {
            state.unled = true;
            state.nextTurn = now + (long) (random.nextDouble() * period(id));
        }
        while (state.unled && now - state.nextTurn >= TURN_NANOS) {
            state.nextTurn += period(id);
        }
    }

    private long period(UpstreamId id) {
        double perSecond = Math.max(LimitKeeper.LEAST_PER_SECOND, limit(id).orElse(0));
        return Math.max(1, (long) (hosts / perSecond * NANOS_PER_SECOND));
    }

    /**
     * Returns what upstreams have told this host and no keeper has answered yet, to be told again.
     */
    public List<HeardLimit> unconfirmed(long now) {
        List<HeardLimit> due = new ArrayList<>();
        for (State state : states.values()) {
            if (state.unconfirmed.isPresent() && now - state.reportedAt >= ASK_AGAIN_NANOS) {
                state.reportedAt = now;
                due.add(state.unconfirmed.get());
            }
        }
        return due;
    }
}
