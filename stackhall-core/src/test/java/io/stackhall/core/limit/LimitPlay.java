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
final class LimitPlay {

    static final UpstreamId UPSTREAM = new UpstreamId("i-1");

    private static final long MILLI = 1_000_000;
    private static final long LOOK = 25 * MILLI;
    private static final long REPORT = 1000 * MILLI;
    private static final long KEEPER_TICK = 20 * MILLI;

    /** The caller of a request waits so long. */
    private static final Duration USUAL_PATIENCE = Duration.ofSeconds(4);

    private final Random random;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Keeper> keepers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Moments requests = new Moments();
    private final Moments arrivals = new Moments();
    private OptionalDouble named = OptionalDouble.empty();
    private long order;
    private long now;
    private long frames;
    private long patience = USUAL_PATIENCE.toNanos();
    private long served;
    private long waitedWell;
    private long refused;
    private long waitedInVain;

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
            limits.shared(hosts.isEmpty() ? 10 : hosts.size());
        }

        void look() {
            if (!frozen) {
                serve();
                tell();
            }
        }

        void serve() {
            waiting.removeIf(this::outOfTime);
            while (!waiting.isEmpty() && limits.allows(UPSTREAM, now)) {
                served++;
                waitedWell += now - (waiting.removeFirst() - patience);
                send();
            }
            limits.recount();
            for (int ahead = 0; ahead < waiting.size(); ahead++) {
                Duration expected = limits.await(UPSTREAM, now).behind(ahead);
                if (now + expected.toNanos() - waiting.get(ahead) > 0) {
                    refuse(waiting.remove(ahead--));
                }
            }
        }

        private boolean outOfTime(long until) {
            boolean over = now - until >= 0;
            if (over) {
                refuse(until);
            }
            return over;
        }

        private void refuse(long until) {
            refused++;
            waitedInVain += now - (until - patience);
        }

        void send() {
            limits.sent(UPSTREAM, now);
            LimitRevision basis = limits.revision(UPSTREAM);
            in(
                    2,
                    () -> {
                        arrivals.add(now);
                        OptionalDouble said = named;
                        in(20, () -> answered(said, basis));
                    });
        }

        void answered(OptionalDouble said, LimitRevision basis) {
            if (frozen) {
                in(20, () -> answered(said, basis));
                return;
            }
            limits.named(UPSTREAM, said, basis, now)
                    .ifPresent(heard -> toKeepers(keeper -> keeper.heard(heard)));
        }

        void tell() {
            for (PermitWant want : limits.wants(now)) {
                LimitWord known = limits.word(UPSTREAM);
                toKeepers(keeper -> keeper.wanted(want, known));
            }
            limits.unconfirmed(now).forEach(heard -> toKeepers(keeper -> keeper.heard(heard)));
        }

        void report() {
            if (!frozen) {
                toKeepers(keeper -> keeper.reported(id));
            }
        }

        private void toKeepers(Consumer<Keeper> message) {
            for (Keeper keeper : keepers) {
                if (!cut) {
                    frames++;
                    in(delay(), () -> keeper.take(message));
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
            tell();
        }
    }

    /** One control host. */
    private final class Keeper {
        private final LimitKeeper keeper = new LimitKeeper();
        private boolean leads;
        private boolean down;

        void take(Consumer<Keeper> message) {
            if (!down) {
                message.accept(this);
            }
        }

        void lead(long term) {
            leads = true;
            keeper.lead(term, now);
        }

        void reported(HostId host) {
            keeper.reported(host, now);
        }

        void heard(HeardLimit heard) {
            if (leads) {
                tell(keeper.heard(heard, now));
            }
        }

        void wanted(PermitWant want, LimitWord known) {
            if (leads) {
                keeper.told(known);
                answer(keeper.wanted(want, now));
            }
        }

        void tick() {
            if (leads && !down) {
                LimitKeeper.Step step = keeper.step(now);
                tell(step.words());
                answer(step.answers());
            }
        }

        private void tell(List<LimitWord> words) {
            for (LimitWord word : words) {
                hosts.forEach(host -> send(host, () -> host.limits.told(word)));
                keepers.forEach(other -> in(delay(), () -> other.keeper.told(word)));
            }
        }

        private void answer(List<PermitAnswer> answers) {
            for (PermitAnswer answer : answers) {
                hosts.stream()
                        .filter(host -> host.id.equals(answer.host()))
                        .forEach(host -> send(host, () -> host.limits.answered(answer, now)));
            }
        }

        private void send(Host host, Runnable message) {
            if (!host.cut) {
                frames++;
                in(delay(), () -> host.received(message));
            }
        }
    }

    LimitPlay(long seed, int hostCount) {
        random = new Random(seed);
        for (int number = 0; number < hostCount; number++) {
            hosts.add(new Host(number));
        }
        for (int number = 0; number < 3; number++) {
            keepers.add(new Keeper());
        }
        keepers.getFirst().lead(1);
        for (Host host : hosts) {
            host.limits.shared(hostCount);
            every(LOOK, host::look);
            every(REPORT, host::report);
        }
        keepers.forEach(keeper -> every(KEEPER_TICK, keeper::tick));
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
    LimitPlay names(Duration at, OptionalDouble limit) {
        return at(at, () -> named = limit);
    }

    LimitPlay at(Duration at, Runnable run) {
        events.add(new Event(at.toNanos(), order++, run));
        return this;
    }

    /** Cuts a share of the hosts off from all keepers for a time. */
    LimitPlay cut(double share, Duration at, Duration time) {
        int count = (int) (share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.cut = true));
        return at(at.plus(time), () -> hosts.subList(0, count).forEach(host -> host.cut = false));
    }

    /** Freezes a share of the hosts for a time. */
    LimitPlay freeze(double share, Duration at, Duration time) {
        int count = (int) Math.ceil(share * hosts.size());
        at(at, () -> hosts.subList(0, count).forEach(host -> host.frozen = true));
        return at(
                at.plus(time), () -> hosts.subList(0, count).forEach(host -> host.frozen = false));
    }

    /** Starts a share of the hosts anew. */
    LimitPlay restart(double share, Duration at) {
        int count = (int) Math.ceil(share * hosts.size());
        return at(at, () -> hosts.subList(0, count).forEach(this::restarted));
    }

    private void restarted(Host host) {
        host.start();
        host.limits.shared(hosts.size());
        keepers.getFirst().keeper.table().all().forEach(word -> host.limits.told(word));
    }

    /** Ends a leader; the next one begins after a time, with what it was told. */
    LimitPlay loseLeader(Duration at, Duration time) {
        at(
                at,
                () -> {
                    keepers.getFirst().down = true;
                    keepers.getFirst().leads = false;
                });
        return at(at.plus(time), () -> keepers.get(1).lead(2));
    }

    /** Plays requests that come at a rate and only the upstream can serve. */
    LimitPlay play(Duration length, double perSecond) {
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
        host.waiting.add(now + patience);
        host.serve();
        host.tell();
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
    LimitPlay patience(Duration longest) {
        patience = longest.toNanos();
        return this;
    }

    /** Returns how long a request that was sent had waited, in the mean. */
    Duration meanWait() {
        return Duration.ofNanos(waitedWell / Math.max(1, served));
    }

    /** Returns how long a request that was refused had waited, in the mean. */
    Duration meanWaitInVain() {
        return Duration.ofNanos(waitedInVain / Math.max(1, refused));
    }
}
