import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner deregisters while an entry machine stands still. The rule: from drain-ms after the
 * acknowledgement on, no request that a machine in touch sends on reaches that runner.
 */
final class GoneMissed {

    private static final double DRAIN = 2.0;
    private static final double CONTACT = 3.0;
    private static final double FROZEN = 4.0;
    private static final double LEAVES_AFTER = 2.0;
    private static final double SERVES_ON = 10.0;

    private record Arrival(double at, String requestId) {}

    private GoneMissed() {}

    public static void main(String[] arguments) {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            code = run(Path.of(arguments[0]).toAbsolutePath(), record);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Path root, Record record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, String> sentTo = new ConcurrentHashMap<>();
        Map<String, String> outcomes = new ConcurrentHashMap<>();
        List<Arrival> atLeaving = new ArrayList<>();
        try (Deployment system = new Deployment(root, record, 1)) {
            system.startAll();
            List<Runner> runners = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                runners.add(
                        new Runner(
                                "i-7f3a91c" + i,
                                "feed-api",
                                Deployment.ZONES.get(i),
                                system.ip(i + 1, 60),
                                6,
                                80,
                                system.controls(),
                                record,
                                (runner, id) -> {
                                    if (runner.id.equals("i-7f3a91c0")) {
                                        synchronized (atLeaving) {
                                            atLeaving.add(new Arrival(record.now(), id));
                                        }
                                    }
                                }));
            }
            Operator operator = new Operator(system.controls(), record);
            if (operator.put(Configurations.plain(7), 30) < 0) {
                system.reportEnded();
                return 2;
            }
            runners.forEach(Runner::start);
            if (!system.awaitReady(30)) {
                system.reportEnded();
                return 2;
            }
            AtomicBoolean stop = new AtomicBoolean();
            AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger()};
            for (Node front : system.fronts) {
                for (int c = 0; c < 4; c++) {
                    int number = c;
                    Thread.startVirtualThread(
                            () -> client(front, number, stop, sentTo, outcomes, counts, record));
                }
            }
            Thread.sleep(5000);
            if (counts[0].get() < 20) {
                record.say("the system does not serve before the disruption");
                return 2;
            }
            Node frozen = system.fronts.get(0);
            Runner leaving = runners.get(0);
            double begun = record.now();
            if (trouble) {
                frozen.signal("STOP");
            }
            Thread.sleep((long) (LEAVES_AFTER * 1000));
            double acknowledged = leaving.deregister();
            Thread.sleep((long) ((begun + FROZEN - record.now()) * 1000));
            if (trouble) {
                frozen.signal("CONT");
            }
            double inTouch = begun + FROZEN + CONTACT;
            Thread.sleep((long) ((acknowledged + SERVES_ON - record.now()) * 1000));
            leaving.end();
            double ended = record.now();
            Thread.sleep(1500);
            stop.set(true);
            return judge(
                    record,
                    atLeaving,
                    sentTo,
                    outcomes,
                    frozen.name,
                    acknowledged,
                    inTouch,
                    ended,
                    trouble);
        }
    }

    private static int judge(
            Record record,
            List<Arrival> arrivals,
            Map<String, String> sentTo,
            Map<String, String> outcomes,
            String frozen,
            double acknowledged,
            double inTouch,
            double ended,
            boolean trouble) {
        int late = 0;
        int byOthers = 0;
        int lost = 0;
        List<Arrival> all;
        synchronized (arrivals) {
            all = List.copyOf(arrivals);
        }
        for (Arrival arrival : all) {
            boolean due = arrival.at() > acknowledged + DRAIN && arrival.at() < ended;
            String front = sentTo.getOrDefault(arrival.requestId(), "?");
            boolean counts = !trouble || !front.equals(frozen) || arrival.at() > inTouch;
            if (due && counts) {
                late++;
                byOthers += front.equals(frozen) ? 0 : 1;
                String outcome = outcomes.getOrDefault(arrival.requestId(), "none");
                lost += outcome.equals("200") ? 0 : 1;
                record.line(
                        String.format(
                                Locale.ROOT,
                                "LATE: %s from %s reached the runner %.3f s after its"
                                        + " acknowledgement; the client got %s",
                                arrival.requestId(),
                                front,
                                arrival.at() - acknowledged,
                                outcome));
            }
        }
        record.say(
                late
                        + " requests sent on by machines in touch reached the runner later than"
                        + " drain-ms after it was acknowledged to be gone ("
                        + (late - byOthers)
                        + " by "
                        + frozen
                        + "); "
                        + lost
                        + " of them were lost as it ended");
        record.say(late > 0 ? "DRAIN is broken" : "DRAIN holds");
        return late > 0 ? 1 : 0;
    }

    private static void client(
            Node front,
            int number,
            AtomicBoolean stop,
            Map<String, String> sentTo,
            Map<String, String> outcomes,
            AtomicInteger[] counts,
            Record record) {
        boolean safe = number == 0;
        for (int i = 0; !stop.get(); i++) {
            String id = front.name + (safe ? "-s" : "-u" + number + "-") + i;
            sentTo.put(id, front.name);
            Map<String, String> headers =
                    Map.of("Host", "feed.example", "X-Request-Id", id, "X-Deadline-Ms", "3000");
            String outcome;
            try {
                Http.Message answer =
                        Http.call(
                                front.front(),
                                safe ? "GET" : "POST",
                                safe ? "/snippet/2f" : "/status/2f",
                                headers,
                                new byte[0],
                                3000);
                outcome = answer == null ? "closed" : "" + answer.status();
            } catch (Exception e) {
                outcome = e.toString();
            }
            outcomes.put(id, outcome);
            counts[outcome.equals("200") ? 0 : 1].incrementAndGet();
            record.line("client " + id + " -> " + outcome);
            try {
                Thread.sleep(60);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
