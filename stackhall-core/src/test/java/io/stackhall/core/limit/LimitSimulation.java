package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulates hosts, control hosts and one upstream with a limit in virtual time: requests that only
 * it can serve arrive at random hosts, messages take some milliseconds, and hosts or control hosts
 * may be disconnected, paused or replaced.
 */
final class LimitSimulation {

    static final UpstreamId UPSTREAM = new UpstreamId("i-1");

    private static final long MILLI = 1_000_000;
    private static final long HOST_TICK = 25 * MILLI;
    private static final long REPORT_INTERVAL = 1000 * MILLI;
    private static final long MANAGER_TICK = 20 * MILLI;

    /** How long the caller of a request waits. */
    private static final Duration DEFAULT_CALLER_TIMEOUT = Duration.ofSeconds(4);

    private final Random random;
    private final List<Host> hosts = new ArrayList<>();
    private final List<ControlHost> controlHosts = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final EventTimes requests = new EventTimes();
    private final EventTimes arrivals = new EventTimes();
    private OptionalDouble upstreamLimit = OptionalDouble.empty();
    private long order;
    private long now;
    private long frames;
    private long callerTimeout = DEFAULT_CALLER_TIMEOUT.toNanos();
    private long served;
    private long servedWaitNanos;
    private long refused;
    private long refusedWaitNanos;

    private record Event(long at, long order, Runnable run) {}

    /** One entry host. */
    private final class Host {
        private final HostId id;
        private LimitedUpstreams limits;
        private final List<Long> waiting = new ArrayList<>();
        private boolean unreachable;
        private boolean paused;

        Host(int number) {
            id = new HostId("entry-" + number);
            start();
        }

        void start() {
            waiting.clear();
            limits = new LimitedUpstreams(id, new Random(random.nextLong()));
            limits.setHostCount(hosts.isEmpty() ? 10 : hosts.size());
        }

        void tick() {
            if (!paused) {
                serve();
                sendDueMessages();
            }
        }

        void serve() {
            waiting.removeIf(this::refuseIfExpired);
            while (!waiting.isEmpty() && limits.allows(UPSTREAM, now)) {
                served++;
                servedWaitNanos += now - (waiting.removeFirst() - callerTimeout);
                send();
            }
            limits.resetWaiting();
            for (int ahead = 0; ahead < waiting.size(); ahead++) {
                Duration expected = limits.awaitPermit(UPSTREAM, now).waitBehind(ahead);
                if (now + expected.toNanos() - waiting.get(ahead) > 0) {
                    refuse(waiting.remove(ahead--));
                }
            }
        }

        private boolean refuseIfExpired(long until) {
            boolean expired = now - until >= 0;
            if (expired) {
                refuse(until);
            }
            return expired;
        }

        private void refuse(long until) {
            refused++;
            refusedWaitNanos += now - (until - callerTimeout);
        }

        void send() {
            limits.sent(UPSTREAM, now);
            LimitRevision basis = limits.revision(UPSTREAM);
            in(
                    2,
                    () -> {
                        arrivals.add(now);
                        OptionalDouble announced = upstreamLimit;
                        in(20, () -> answered(announced, basis));
                    });
        }

        void answered(OptionalDouble announced, LimitRevision basis) {
            if (paused) {
                in(20, () -> answered(announced, basis));
                return;
            }
            limits.observe(UPSTREAM, announced, basis, now)
                    .ifPresent(seen -> toControlHosts(control -> control.observe(seen)));
        }

        void sendDueMessages() {
            for (PermitRequest request : limits.dueRequests(now)) {
                LimitUpdate known = limits.latestUpdate(UPSTREAM);
                toControlHosts(control -> control.request(request, known));
            }
            limits.dueObservations(now)
                    .forEach(seen -> toControlHosts(control -> control.observe(seen)));
        }

        void report() {
            if (!paused) {
                toControlHosts(control -> control.hostReported(id));
            }
        }

        private void toControlHosts(Consumer<ControlHost> message) {
            for (ControlHost control : controlHosts) {
                if (!unreachable) {
                    frames++;
                    in(delay(), () -> control.receive(message));
                }
            }
        }

        void received(Runnable message) {
            if (unreachable) {
                return;
            }
            if (paused) {
                in(20, () -> received(message));
                return;
            }
            message.run();
            serve();
            sendDueMessages();
        }
    }

    /** One control host. */
    private final class ControlHost {
        private final LimitManager manager = new LimitManager();
        private boolean leads;
        private boolean down;

        void receive(Consumer<ControlHost> message) {
            if (!down) {
                message.accept(this);
            }
        }

        void lead(long term) {
            leads = true;
            manager.lead(term, now);
        }

        void hostReported(HostId host) {
            manager.hostReported(host, now);
        }

        void observe(LimitObservation observation) {
            if (leads) {
                publish(manager.observe(observation, now));
            }
        }

        void request(PermitRequest request, LimitUpdate known) {
            if (leads) {
                manager.receive(known);
                answer(manager.request(request, now));
            }
        }

        void tick() {
            if (leads && !down) {
                LimitManager.Decisions decisions = manager.advance(now);
                publish(decisions.updates());
                answer(decisions.answers());
            }
        }

        private void publish(List<LimitUpdate> updates) {
            for (LimitUpdate update : updates) {
                hosts.forEach(host -> send(host, () -> host.limits.receive(update)));
                controlHosts.forEach(other -> in(delay(), () -> other.manager.receive(update)));
            }
        }

        private void answer(List<PermitAnswer> answers) {
            for (PermitAnswer answer : answers) {
                hosts.stream()
                        .filter(host -> host.id.equals(answer.host()))
                        .forEach(host -> send(host, () -> host.limits.receiveAnswer(answer, now)));
            }
        }

        private void send(Host host, Runnable message) {
            if (!host.unreachable) {
                frames++;
                in(delay(), () -> host.received(message));
            }
        }
    }

    LimitSimulation(long seed, int hostCount) {
        random = new Random(seed);
        for (int number = 0; number < hostCount; number++) {
            hosts.add(new Host(number));
        }
        for (int number = 0; number < 3; number++) {
            controlHosts.add(new ControlHost());
        }
        controlHosts.getFirst().lead(1);
        for (Host host : hosts) {
            host.limits.setHostCount(hostCount);
            every(HOST_TICK, host::tick);
            every(REPORT_INTERVAL, host::report);
        }
        controlHosts.forEach(control -> every(MANAGER_TICK, control::tick));
    }

    private void every(long period, Runnable task) {
        long first = now + (long) (random.nextDouble() * period);
        events.add(
                new Event(
                        first,
                        order++,
                        () -> {
                            task.run();
                            repeat(period, task);
                        }));
    }

    private void repeat(long period, Runnable task) {
        events.add(
                new Event(
                        now + period,
                        order++,
                        () -> {
                            task.run();
                            repeat(period, task);
                        }));
    }

    private void in(long millis, Runnable run) {
        events.add(new Event(now + millis * MILLI, order++, run));
    }

    private long delay() {
        return 1L + random.nextInt(4);
    }

    /** Lets the upstream announce a limit from a given time on; empty ends it. */
    LimitSimulation limitFrom(Duration at, OptionalDouble limit) {
        return at(at, () -> upstreamLimit = limit);
    }

    LimitSimulation at(Duration at, Runnable run) {
        events.add(new Event(at.toNanos(), order++, run));
        return this;
    }

    /** Disconnects a fraction of the hosts from all control hosts for some time. */
    LimitSimulation disconnect(double share, Duration at, Duration time) {
        int count = (int) (share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.unreachable = true));
        return at(
                at.plus(time),
                () -> hosts.subList(0, count).forEach(host -> host.unreachable = false));
    }

    /** Pauses a fraction of the hosts for some time. */
    LimitSimulation pause(double share, Duration at, Duration time) {
        int count = (int) Math.ceil(share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.paused = true));
        return at(
                at.plus(time), () -> hosts.subList(0, count).forEach(host -> host.paused = false));
    }

    /** Restarts a fraction of the hosts. */
    LimitSimulation restart(double share, Duration at) {
        int count = (int) Math.ceil(share * hosts.size());
        return at(at, () -> hosts.subList(0, count).forEach(this::restartHost));
    }

    private void restartHost(Host host) {
        host.start();
        host.limits.setHostCount(hosts.size());
        List<LimitUpdate> known = List.copyOf(controlHosts.getFirst().manager.table().all());
        known.forEach(host.limits::receive);
    }

    /** Stops the leader; the next one starts after some time, with the updates that it received. */
    LimitSimulation loseLeader(Duration at, Duration time) {
        at(
                at,
                () -> {
                    controlHosts.getFirst().down = true;
                    controlHosts.getFirst().leads = false;
                });
        return at(at.plus(time), () -> controlHosts.get(1).lead(2));
    }

    /** Simulates requests at a mean rate that only the upstream can serve. */
    LimitSimulation run(Duration length, double perSecond) {
        long next = 0;
        while (next < length.toNanos()) {
            long at = next;
            events.add(new Event(at, order++, this::request));
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        }
        while (!events.isEmpty() && events.peek().at() < length.toNanos()) {
            Event event = events.poll();
            now = event.at();
            event.run().run();
        }
        return this;
    }

    private void request() {
        Host host = hosts.get(random.nextInt(hosts.size()));
        if (host.paused) {
            return;
        }
        requests.add(now);
        host.waiting.add(now + callerTimeout);
        host.serve();
        host.sendDueMessages();
    }

    /** Returns the most requests at the upstream within any four seconds of an interval. */
    int worstFourSeconds(Duration from, Duration to) {
        return arrivals.worstFourSeconds(from, to);
    }

    /** Returns the mean requests per second that reached the upstream in an interval. */
    double perSecond(Duration from, Duration to) {
        return arrivals.count(from, to) / (to.minus(from).toMillis() / 1000.0);
    }

    /** Returns how many requests arrived at hosts in an interval. */
    long requested(Duration from, Duration to) {
        return requests.count(from, to);
    }

    /** Returns how many requests reached the upstream in an interval. */
    long arrived(Duration from, Duration to) {
        return arrivals.count(from, to);
    }

    long frames() {
        return frames;
    }

    /** Sets how long requests wait at most. */
    LimitSimulation callerTimeout(Duration longest) {
        callerTimeout = longest.toNanos();
        return this;
    }

    /** Returns the mean wait of the requests that were sent. */
    Duration meanWait() {
        return Duration.ofNanos(servedWaitNanos / Math.max(1, served));
    }

    /** Returns the mean wait of the requests that were refused. */
    Duration meanWaitOfRefused() {
        return Duration.ofNanos(refusedWaitNanos / Math.max(1, refused));
    }
}
