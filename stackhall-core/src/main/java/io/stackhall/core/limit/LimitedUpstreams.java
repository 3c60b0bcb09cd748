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
 * The limits of upstreams as known to one host. Decides whether the host may send an upstream a
 * request now: with a permit of the leading {@link LimitManager} or, once no control host has
 * answered for a while, autonomously at intervals that give the host its equal share of the limit.
 *
 * <p>A limit that an upstream announces to this host applies at once; a looser one than known
 * applies only when the leader confirms it.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitedUpstreams {

    /** Demand of waiting requests that is not renewed for this long expires. */
    private static final long DEMAND_EXPIRY_NANOS = Duration.ofMillis(120).toNanos();

    /** Interval of repeated messages; the limit manager drops permit requests after 1 s. */
    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

    /** Interval at which optional permits are requested, for requests that others serve as well. */
    private static final long OPTIONAL_REQUEST_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Validity of a permit, counted from the time of its request, so that a process that was paused
     * meanwhile does not use it.
     */
    private static final long PERMIT_VALIDITY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Time without an answer after which the host sends autonomously. By then a limit manager that
     * receives no reports of this host no longer grants its share, and a new leader has usually
     * been elected.
     */
    static final long AUTONOMOUS_AFTER_NANOS = Duration.ofMillis(2200).toNanos();

    /**
     * An autonomous send that is not used within this time is lost, so that unused ones do not
     * accumulate.
     */
    private static final long SEND_WINDOW_NANOS = Duration.ofMillis(500).toNanos();

    /** Requests waiting on one host beyond this number are refused long before their permit. */
    private static final int MAX_WAITING = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final HostId self;
    private final RandomGenerator random;
    private final LimitTable table = new LimitTable();
    private final Map<UpstreamId, State> states = new HashMap<>();
    private int hosts = 1;

    /** State of one limited upstream. */
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

    /** Creates the state of a host that knows no limits. */
    public LimitedUpstreams(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Sets how many hosts share the limits. */
    public void setHostCount(int count) {
        hosts = Math.max(1, count);
    }

    /** Returns how many upstreams have a limit. */
    public int size() {
        return states.size();
    }

    /** Returns the limit of an upstream, in requests per second over all hosts. */
    public OptionalDouble limit(UpstreamId id) {
        State state = states.get(id);
        if (state == null) {
            return OptionalDouble.empty();
        }
        return state.provisional.isPresent() ? state.provisional : table.find(id).perSecond();
    }

    /**
     * Returns the known revision of an upstream's limit, to be kept when a request is sent to it.
     */
    public LimitRevision revision(UpstreamId id) {
        return table.find(id).revision();
    }

    /** Returns the latest update of an upstream's limit. */
    public LimitUpdate latestUpdate(UpstreamId id) {
        return table.find(id);
    }

    /** Removes an upstream that is gone. */
    public void forget(UpstreamId id) {
        table.forget(id);
        states.remove(id);
    }

    /**
     * Records the limit that an answer announces, and returns what to report to the control hosts.
     *
     * @param named the announced limit in requests per second, or empty if there is none
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
        boolean knewLatest = state != null && basis.compareTo(known.revision()) >= 0;
        if (!knewLatest || now - state.reportedAt < RETRY_INTERVAL_NANOS) {
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

    /** Merges an update of the leader, and returns whether it is newer than the known one. */
    public boolean receive(LimitUpdate update) {
        if (!table.merge(update)) {
            return false;
        }
        if (update.limited()) {
            State state = states.computeIfAbsent(update.upstream(), key -> new State());
            state.provisional = OptionalDouble.empty();
            state.unconfirmed = Optional.empty();
        } else {
            states.remove(update.upstream());
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
            // Sent without a permit: the limit manager has to count it.
            state.returnedPermits--;
        }
    }

    /** Returns a permit that this host holds and must not use. */
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

    /**
     * Resets the number of waiting requests, before each of them calls {@link #awaitPermit} again.
     */
    public void resetWaiting() {
        states.values().forEach(state -> state.waiting = 0);
    }

    /**
     * Records a waiting request that only this upstream can serve now.
     *
     * @return the expected waits of this host's requests, in their order
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

    /**
     * Returns whether a request that others can serve as well should request an optional permit.
     */
    public boolean optionalRequestDue(UpstreamId id, long now) {
        State state = states.get(id);
        return state != null
                && !state.hasDemand()
                && !hasPermit(state, now)
                && now - state.requestedAt >= OPTIONAL_REQUEST_INTERVAL_NANOS;
    }

    /** Records that a request which others can serve as well could be sent to this upstream. */
    public void requestOptionalPermit(UpstreamId id, long now) {
        State state = states.get(id);
        if (state != null) {
            recordDemand(state, now);
            state.optionalDemand = true;
        }
    }

    private static void recordDemand(State state, long now) {
        boolean expired = now - state.lastDemandAt > DEMAND_EXPIRY_NANOS;
        state.demandSince = expired ? now : state.demandSince;
        state.lastDemandAt = now;
    }

    /** Records an answer of the leader, and returns whether it allows sending a request. */
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

    /** Returns the permit requests to send to the control hosts now. */
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
        // The permit that is held serves the first waiting request.
        int exclusive = Math.max(0, state.waiting - (hasPermit(state, now) ? 1 : 0));
        boolean optional = state.optionalDemand && exclusive == 0 && !hasPermit(state, now);
        boolean changed = optional || exclusive != state.requestedPermits;
        boolean repeat = exclusive > 0 && now - state.requestedAt >= RETRY_INTERVAL_NANOS;
        if (!changed && !repeat && state.returnedPermits == 0) {
            return Optional.empty();
        }
        PermitRequest request =
                new PermitRequest(
                        self,
                        id,
                        exclusive,
                        optional,
                        now,
                        state.returnedPermits,
                        state.autonomous);
        state.returnedPermits = 0;
        state.requestedPermits = exclusive;
        state.optionalDemand = false;
        state.requestedAt = now;
        return Optional.of(request);
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
     * Returns the announced limits that no leader has confirmed yet and that are due to be reported
     * again.
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
