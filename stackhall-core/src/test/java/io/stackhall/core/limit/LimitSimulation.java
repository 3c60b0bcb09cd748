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
 * Hosts, their keepers and one upstream that has a limit, in virtual time: requests that only it
 * can serve come at random hosts, words take some milliseconds, and hosts or keepers may be cut
 * off, frozen or replaced.
 */
final class LimitSimulation {

    static final UpstreamId UPSTREAM = new UpstreamId("i-1");

    private static final long MILLI = 1_000_000;
    private static final long HOST_TICK = 25 * MILLI;
    private static final long REPORT_INTERVAL = 1000 * MILLI;
    private static final long MANAGER_TICK = 20 * MILLI;

    /** The caller of a request waits so long. */
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
        private boolean cut;
        private boolean frozen;

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
            if (!frozen) {
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
            boolean over = now - until >= 0;
            if (over) {
                refuse(until);
            }
            return over;
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
                        OptionalDouble said = upstreamLimit;
                        in(20, () -> answered(said, basis));
                    });
        }

        void answered(OptionalDouble said, LimitRevision basis) {
            if (frozen) {
                in(20, () -> answered(said, basis));
                return;
            }
            limits.observe(UPSTREAM, said, basis, now)
                    .ifPresent(heard -> toControlHosts(keeper -> keeper.observe(heard)));
        }

        void sendDueMessages() {
            for (PermitRequest want : limits.dueRequests(now)) {
                LimitUpdate known = limits.latestUpdate(UPSTREAM);
                toControlHosts(keeper -> keeper.request(want, known));
            }
            limits.dueObservations(now)
                    .forEach(heard -> toControlHosts(keeper -> keeper.observe(heard)));
        }

        void report() {
            if (!frozen) {
                toControlHosts(keeper -> keeper.hostReported(id));
            }
        }

        private void toControlHosts(Consumer<ControlHost> message) {
            for (ControlHost keeper : controlHosts) {
                if (!cut) {
                    frames++;
                    in(delay(), () -> keeper.receive(message));
                }
            }
        }

        void received(Runnable message) {
            if (cut) {
                return;
            }
            if (frozen) {
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

        void observe(LimitObservation heard) {
            if (leads) {
                publish(manager.observe(heard, now));
            }
        }

        void request(PermitRequest want, LimitUpdate known) {
            if (leads) {
                manager.receive(known);
                answer(manager.request(want, now));
            }
        }

        void tick() {
            if (leads && !down) {
                LimitManager.Decisions step = manager.advance(now);
                publish(step.updates());
                answer(step.answers());
            }
        }

        private void publish(List<LimitUpdate> words) {
            for (LimitUpdate word : words) {
                hosts.forEach(host -> send(host, () -> host.limits.receive(word)));
                controlHosts.forEach(other -> in(delay(), () -> other.manager.receive(word)));
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
            if (!host.cut) {
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
        controlHosts.forEach(keeper -> every(MANAGER_TICK, keeper::tick));
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

    /** Names a limit from a moment on; nothing ends it. */
    LimitSimulation limitFrom(Duration at, OptionalDouble limit) {
        return at(at, () -> upstreamLimit = limit);
    }

    LimitSimulation at(Duration at, Runnable run) {
        events.add(new Event(at.toNanos(), order++, run));
        return this;
    }

    /** Cuts a share of the hosts off from all keepers for a time. */
    LimitSimulation cut(double share, Duration at, Duration time) {
        int count = (int) (share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.cut = true));
        return at(at.plus(time), () -> hosts.subList(0, count).forEach(host -> host.cut = false));
    }

    /** Freezes a share of the hosts for a time. */
    LimitSimulation freeze(double share, Duration at, Duration time) {
        int count = (int) Math.ceil(share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.frozen = true));
        return at(
                at.plus(time), () -> hosts.subList(0, count).forEach(host -> host.frozen = false));
    }

    /** Starts a share of the hosts anew. */
    LimitSimulation restart(double share, Duration at) {
        int count = (int) Math.ceil(share * hosts.size());
        return at(at, () -> hosts.subList(0, count).forEach(this::restartHost));
    }

    private void restartHost(Host host) {
        host.start();
        host.limits.setHostCount(hosts.size());
        controlHosts.getFirst().manager.table().all().forEach(word -> host.limits.receive(word));
    }

    /** Ends a leader; the next one begins after a time, with what it was told. */
    LimitSimulation loseLeader(Duration at, Duration time) {
        at(
                at,
                () -> {
                    controlHosts.getFirst().down = true;
                    controlHosts.getFirst().leads = false;
                });
        return at(at.plus(time), () -> controlHosts.get(1).lead(2));
    }

    /** Plays requests that come at a rate and only the upstream can serve. */
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
        if (host.frozen) {
            return;
        }
        requests.add(now);
        host.waiting.add(now + callerTimeout);
        host.serve();
        host.sendDueMessages();
    }

    /** Returns the most requests that came in four seconds, after a moment and before another. */
    int worstFourSeconds(Duration from, Duration to) {
        return arrivals.worstFourSeconds(from, to);
    }

    /** Returns how many requests a second came to the upstream in a time. */
    double perSecond(Duration from, Duration to) {
        return arrivals.count(from, to) / (to.minus(from).toMillis() / 1000.0);
    }

    /** Returns how many requests came to hosts in a time. */
    long requested(Duration from, Duration to) {
        return requests.count(from, to);
    }

    /** Returns how many requests came to the upstream in a time. */
    long arrived(Duration from, Duration to) {
        return arrivals.count(from, to);
    }

    long frames() {
        return frames;
    }

    /** Lets requests wait for so long, and no longer. */
    LimitSimulation callerTimeout(Duration longest) {
        callerTimeout = longest.toNanos();
        return this;
    }

    /** Returns how long a request that was sent had waited, in the mean. */
    Duration meanWait() {
        return Duration.ofNanos(servedWaitNanos / Math.max(1, served));
    }

    /** Returns how long a request that was refused had waited, in the mean. */
    Duration meanWaitOfRefused() {
        return Duration.ofNanos(refusedWaitNanos / Math.max(1, refused));
    }
}
