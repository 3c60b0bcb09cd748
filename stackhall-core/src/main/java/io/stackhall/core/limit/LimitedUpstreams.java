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
 * now: with a permit of the {@link LimitManager}, or, once no keeper has answered for a while, in
 * one of its own turns, which are its equal share of the limit.
 *
 * <p>What an upstream tells this very host is obeyed at once; what is looser than known counts only
 * once the keeper says so.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitedUpstreams {

    /** What a request that waits has not renewed for this long is wanted no more. */
    private static final long DEMAND_EXPIRY_NANOS = Duration.ofMillis(120).toNanos();

    /** A keeper forgets what a host wants after a second. */
    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

    /** A request that others can serve as well asks so often whether a limited one may be used. */
    private static final long OPTIONAL_REQUEST_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * A permit counts so long from the moment at which it was asked for, so that a host that was
     * frozen meanwhile does not use it.
     */
    private static final long PERMIT_VALIDITY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * By then a keeper that hears nothing of this host any more leaves it its share, and a next
     * leader has usually been elected.
     */
    static final long AUTONOMOUS_AFTER_NANOS = Duration.ofMillis(2200).toNanos();

    /** A turn that no request uses in this time is lost, so that unused turns do not pile up. */
    private static final long SEND_WINDOW_NANOS = Duration.ofMillis(500).toNanos();

    /** What waits beyond that on one host is refused long before its turn. */
    private static final int MAX_WAITING = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final HostId self;
    private final RandomGenerator random;
    private final LimitTable table = new LimitTable();
    private final Map<UpstreamId, State> states = new HashMap<>();
    private int hosts = 1;

    /** What this host has to do with one limited upstream. */
    private static final class State {
        private OptionalDouble provisional = OptionalDouble.empty();
        private Optional<LimitObservation> unconfirmed = Optional.empty();
        private long reportedAt;
        private Optional<Long> permitValidUntil = Optional.empty();
        private int waiting;
        private boolean optionalDemand;
        private long lastDemandAt;
        private long demandSince;
        private int requestedPermits;
        private long requestedAt;
        private long lastAnswerAt;
        private int returnedPermits;
        private boolean autonomous;
        private long nextSendAt;
        private PermitWaits waits = PermitWaits.unknown();

        private boolean hasDemand() {
            return waiting > 0 || optionalDemand;
        }

        private void clearDemand() {
            waiting = 0;
            optionalDemand = false;
        }
    }

    /** Creates the limits of a host that knows none. */
    public LimitedUpstreams(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Takes in how many hosts share the limits. */
    public void setHostCount(int among) {
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
    public LimitUpdate latestUpdate(UpstreamId id) {
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
    public Optional<LimitObservation> observe(
            UpstreamId id, OptionalDouble named, LimitRevision basis, long now) {
        State state = states.get(id);
        if (state == null && named.isEmpty()) {
            return Optional.empty();
        }
        if (state != null && state.provisional.isPresent()) {
            return named.isPresent() ? tighten(id, state, named, basis, now) : Optional.empty();
        }
        LimitUpdate known = table.find(id);
        if (known.matches(named)) {
            return Optional.empty();
        }
        if (known.isTightenedBy(named)) {
            return tighten(id, states.computeIfAbsent(id, key -> new State()), named, basis, now);
        }
        boolean knew = state != null && basis.compareTo(known.revision()) >= 0;
        if (!knew || now - state.reportedAt < RETRY_INTERVAL_NANOS) {
            return Optional.empty();
        }
        state.reportedAt = now;
        return Optional.of(new LimitObservation(id, named, basis));
    }

    private static Optional<LimitObservation> tighten(
            UpstreamId id, State state, OptionalDouble named, LimitRevision basis, long now) {
        if (state.provisional.isPresent()
                && state.provisional.getAsDouble() <= named.getAsDouble()) {
            return Optional.empty();
        }
        state.provisional = named;
        state.unconfirmed = Optional.of(new LimitObservation(id, named, basis));
        state.reportedAt = now;
        return state.unconfirmed;
    }

    /** Takes in what the keeper says, and returns whether it is news. */
    public boolean receive(LimitUpdate word) {
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
        return state == null || hasPermit(state, now) || inSendWindow(state, now);
    }

    private static boolean hasPermit(State state, long now) {
        return state.permitValidUntil.filter(until -> now - until < 0).isPresent();
    }

    private static boolean inSendWindow(State state, long now) {
        long since = now - state.nextSendAt;
        return state.autonomous && since >= 0 && since < SEND_WINDOW_NANOS;
    }

    /** Notes that a request is sent to an upstream. */
    public void sent(UpstreamId id, long now) {
        State state = states.get(id);
        if (state == null) {
            return;
        }
        state.waiting = Math.max(0, state.waiting - 1);
        if (hasPermit(state, now)) {
            state.permitValidUntil = Optional.empty();
        } else if (inSendWindow(state, now)) {
            state.nextSendAt += sendIntervalNanos(id);
        } else {
            // Sent without a permit all the same, which the keeper has to count.
            state.returnedPermits--;
        }
    }

    /** Gives back a permit that this host has and must not use. */
    public void returnPermit(UpstreamId id, long now) {
        State state = states.get(id);
        if (state != null && hasPermit(state, now)) {
            state.permitValidUntil = Optional.empty();
            state.returnedPermits++;
        }
    }

    /** Notes that a request for which {@link #sent} was called was not written. */
    public void notWritten(UpstreamId id) {
        State state = states.get(id);
        if (state != null && !state.autonomous) {
            state.returnedPermits++;
        }
    }

    /** All requests that wait are about to be looked at anew, each of which says so again. */
    public void resetWaiting() {
        states.values().forEach(state -> state.waiting = 0);
    }

    /**
     * Notes that a request waits which only this upstream can serve now.
     *
     * @return when this host's requests may expect to be sent, in their order
     */
    public PermitWaits awaitPermit(UpstreamId id, long now) {
        State state = states.get(id);
        if (state == null) {
            return PermitWaits.unknown();
        }
        recordDemand(state, now);
        state.waiting = Math.min(MAX_WAITING, state.waiting + 1);
        return state.waits.afterElapsed(Duration.ofNanos(now - state.lastAnswerAt));
    }

    /** Returns whether a request that others serve as well should ask whether it may be used. */
    public boolean optionalRequestDue(UpstreamId id, long now) {
        State state = states.get(id);
        return state != null
                && !state.hasDemand()
                && !hasPermit(state, now)
                && now - state.requestedAt >= OPTIONAL_REQUEST_INTERVAL_NANOS;
    }

    /** Notes that a request could be sent to this upstream which others serve as well. */
    public void requestOptionalPermit(UpstreamId id, long now) {
        State state = states.get(id);
        if (state != null) {
            recordDemand(state, now);
            state.optionalDemand = true;
        }
    }

    private static void recordDemand(State state, long now) {
        boolean anew = now - state.lastDemandAt > DEMAND_EXPIRY_NANOS;
        state.demandSince = anew ? now : state.demandSince;
        state.lastDemandAt = now;
    }

    /** Takes in a keeper's answer, and returns whether it lets a request go. */
    public boolean receiveAnswer(PermitAnswer answer, long now) {
        State state = states.get(answer.upstream());
        if (state == null) {
            return false;
        }
        state.lastAnswerAt = now;
        state.autonomous = false;
        state.waits = answer.waits();
        if (!answer.granted()) {
            return false;
        }
        state.requestedPermits = Math.max(0, state.requestedPermits - 1);
        long until = answer.requestedAt() + PERMIT_VALIDITY_NANOS;
        if (now - until >= 0 || hasPermit(state, now)) {
            state.returnedPermits++;
            return false;
        }
        state.permitValidUntil = Optional.of(until);
        return true;
    }

    /** Returns what keepers are to be told now. */
    public List<PermitRequest> dueRequests(long now) {
        List<PermitRequest> due = new ArrayList<>();
        states.forEach((id, state) -> dueRequest(id, state, now).ifPresent(due::add));
        return due;
    }

    private Optional<PermitRequest> dueRequest(UpstreamId id, State state, long now) {
        if (now - state.lastDemandAt > DEMAND_EXPIRY_NANOS) {
            state.clearDemand();
        }
        returnExpiredPermit(state, now);
        updateAutonomy(id, state, now);
        // The permit at hand is for the first of those that wait.
        int alone = Math.max(0, state.waiting - (hasPermit(state, now) ? 1 : 0));
        boolean spare = state.optionalDemand && alone == 0 && !hasPermit(state, now);
        boolean changed = spare || alone != state.requestedPermits;
        boolean again = alone > 0 && now - state.requestedAt >= RETRY_INTERVAL_NANOS;
        if (!changed && !again && state.returnedPermits == 0) {
            return Optional.empty();
        }
        PermitRequest want =
                new PermitRequest(
                        self, id, alone, spare, now, state.returnedPermits, state.autonomous);
        state.returnedPermits = 0;
        state.requestedPermits = alone;
        state.optionalDemand = false;
        state.requestedAt = now;
        return Optional.of(want);
    }

    private static void returnExpiredPermit(State state, long now) {
        if (state.permitValidUntil.isPresent() && !hasPermit(state, now)) {
            state.permitValidUntil = Optional.empty();
            state.returnedPermits++;
        }
    }

    private void updateAutonomy(UpstreamId id, State state, long now) {
        if (!state.hasDemand()) {
            return;
        }
        long silentSince = Math.max(state.lastAnswerAt, state.demandSince);
        if (!state.autonomous && now - silentSince >= AUTONOMOUS_AFTER_NANOS) {
            state.autonomous = true;
            state.nextSendAt = now + (long) (random.nextDouble() * sendIntervalNanos(id));
        }
        while (state.autonomous && now - state.nextSendAt >= SEND_WINDOW_NANOS) {
            state.nextSendAt += sendIntervalNanos(id);
        }
    }

    private long sendIntervalNanos(UpstreamId id) {
        double perSecond = Math.max(LimitManager.MIN_PER_SECOND, limit(id).orElse(0));
        return Math.max(1, (long) (hosts / perSecond * NANOS_PER_SECOND));
    }

    /**
     * Returns what upstreams have told this host and no keeper has answered yet, to be told again.
     */
    public List<LimitObservation> dueObservations(long now) {
        List<LimitObservation> due = new ArrayList<>();
        for (State state : states.values()) {
            if (state.unconfirmed.isPresent() && now - state.reportedAt >= RETRY_INTERVAL_NANOS) {
                state.reportedAt = now;
                due.add(state.unconfirmed.get());
            }
        }
        return due;
    }
}
