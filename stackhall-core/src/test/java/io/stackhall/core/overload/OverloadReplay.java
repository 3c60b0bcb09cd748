package io.stackhall.core.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/**
 * One event loop that runs the steps of requests: it reads a request, sends it, reads the first
 * event and the end. Times are in milliseconds. A refused caller returns once, after its retry
 * delay. Each request comes on a connection of its own; one that is closed unread is answered by
 * another host.
 */
final class OverloadReplay {

    private static final double ROUND_TRIP = 1;
    private static final double ENGINE_TIME = 40;
    private static final int STEPS = 4;

    private static final int MAX_RETRIES = 1;

    /**
     * Part of the work on a request that a refused one takes as well: read, parse and answer. It
     * holds for callers that keep their connections.
     */
    private static final double REFUSAL_SHARE = 0.15;

    /** Part of the work on a request that a connection takes which is closed unread. */
    private static final double CLOSE_SHARE = 0.05;

    private final LoopDelayMeter meter = new LoopDelayMeter();
    private final LoadShedder shedder;
    private final ConnectionShedder connections;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at));
    private final List<Caller> callers = new ArrayList<>();
    private final boolean sheds;
    private final DoubleUnaryOperator work;
    private double now;
    private double tickDue;
    private double lastRefusalAt = -1;
    private int inFlight;
    private int othersRequests;
    private int hosts;

    /** A kind of request. */
    record Kind(int rank, double objective, double deadline) {
        RequestClass requestClass() {
            return new RequestClass(rank, duration(objective));
        }
    }

    /** One request of a caller, over all its tries. */
    static final class Caller {
        private final Kind kind;
        private final double startedAt;
        private double answeredAt = Double.POSITIVE_INFINITY;
        private int refusals;
        private boolean closedUnread;

        Caller(Kind kind, double startedAt) {
            this.kind = kind;
            this.startedAt = startedAt;
        }

        boolean inTime() {
            return answeredAt - startedAt <= kind.objective();
        }

        int refusals() {
            return refusals;
        }

        boolean closedUnread() {
            return closedUnread;
        }

        Kind kind() {
            return kind;
        }

        boolean startedWithin(double from, double to) {
            return startedAt >= from && startedAt < to;
        }
    }

    private record Event(double at, int step, Caller caller) {}

    /**
     * Creates a host without requests.
     *
     * @param sheds whether it refuses requests while it is overloaded
     * @param classes the classes of the requests
     * @param work the time that all steps of one request take together, by the time of day
     */
    OverloadReplay(
            boolean sheds, Collection<RequestClass> classes, DoubleUnaryOperator work, long seed) {
        this.shedder = new LoadShedder(new Random(seed));
        this.connections = new ConnectionShedder();
        this.sheds = sheds;
        this.work = work;
        shedder.setClasses(classes);
    }

    /** Sets what the other hosts report; without it nothing is known of them. */
    void reportOthers(int requests, int hostCount) {
        othersRequests = requests;
        hosts = hostCount;
    }

    /** Adds a request. */
    void add(Kind kind, double at) {
        Caller caller = new Caller(kind, at);
        callers.add(caller);
        events.add(new Event(at, 0, caller));
    }

    /** Suspends the host from the present for some time, in which it runs nothing. */
    void suspend(double time) {
        now += time;
    }

    /** Runs the event loop up to a time. */
    void runTo(double end) {
        while (now < end) {
            List<Event> ready = new ArrayList<>();
            while (!events.isEmpty() && events.peek().at() <= now) {
                ready.add(events.poll());
            }
            ready.forEach(this::process);
            if (now >= tickDue) {
                meter.tick(nanos(now));
                shedder.update(meter.expectedDelay(nanos(now)), nanos(now));
                connections.update(
                        meter.expectedDelay(nanos(now)),
                        shedder.refusedFrom(),
                        () -> new WorkShare(inFlight, othersRequests, hosts),
                        nanos(now));
                tickDue = now + meter.interval().toMillis();
            }
            double next = events.isEmpty() ? end : events.peek().at();
            now = Math.max(now, Math.min(next, tickDue));
        }
    }

    private void process(Event event) {
        double cost = work.applyAsDouble(now);
        Caller caller = event.caller();
        if (event.step() == 0 && connections.closesNext()) {
            now += cost * CLOSE_SHARE;
            caller.closedUnread = true;
            return;
        }
        if (event.step() == 0 && sheds) {
            Duration remaining = duration(caller.startedAt + caller.kind.deadline() - now);
            Optional<Duration> retry =
                    shedder.refuse(caller.kind.requestClass(), remaining, nanos(now));
            if (retry.isPresent()) {
                refuse(caller, cost, retry.get());
                return;
            }
        }
        now += cost / STEPS;
        switch (event.step()) {
            case 0 -> events.add(new Event(now + ROUND_TRIP, 1, caller));
            case 1 -> {
                inFlight++;
                events.add(new Event(now + ENGINE_TIME, 2, caller));
            }
            case 2 -> {
                inFlight--;
                caller.answeredAt = now;
                events.add(new Event(now + ROUND_TRIP, 3, caller));
            }
            default -> {}
        }
    }

    private void refuse(Caller caller, double cost, Duration delay) {
        now += cost * REFUSAL_SHARE;
        lastRefusalAt = now;
        caller.refusals++;
        double again = now + delay.toNanos() / 1e6;
        if (caller.refusals <= MAX_RETRIES) {
            events.add(new Event(again, 0, caller));
        }
    }

    List<Caller> callers() {
        return callers;
    }

    double lastRefusalAt() {
        return lastRefusalAt;
    }

    private static long nanos(double millis) {
        return Math.round(millis * 1e6);
    }

    private static Duration duration(double millis) {
        return Duration.ofNanos(nanos(millis));
    }
}
