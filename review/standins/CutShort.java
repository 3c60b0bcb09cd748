import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner's process is killed while it writes answers that carry no length. The rule: no client
 * gets a success whose body is not the runner's whole body.
 */
final class CutShort {

    private static final int CLIENTS_PER_FRONT = 6;
    private static final int KILLS = 3;

    private CutShort() {}

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
        List<Process> runners = new ArrayList<>();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger shortBodies = new AtomicInteger();
        AtomicInteger shortStreams = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        try (Deployment system = new Deployment(root, record, 1)) {
            system.startAll();
            if (new Operator(system.controls(), record).put(Configurations.withStreams(7), 30) < 0) {
                system.reportEnded();
                return 2;
            }
            for (int i = 0; i < 4; i++) {
                runners.add(runner(system, i, "i-7f3a91c" + i, record));
            }
            if (!system.awaitReady(30)) {
                system.reportEnded();
                return 2;
            }
            Thread.sleep(4000);
            List<Thread> clients = new ArrayList<>();
            for (Node front : system.fronts) {
                for (int c = 0; c < CLIENTS_PER_FRONT; c++) {
                    int number = c;
                    clients.add(
                            Thread.startVirtualThread(
                                    () ->
                                            client(
                                                    front,
                                                    number,
                                                    stop,
                                                    whole,
                                                    shortBodies,
                                                    shortStreams,
                                                    others,
                                                    record)));
                }
            }
            Thread.sleep(4000);
            for (int kill = 0; kill < KILLS; kill++) {
                if (trouble) {
                    record.say("runner i-7f3a91c" + kill + ": SIGKILL");
                    runners.get(kill).destroyForcibly().waitFor();
                }
                Thread.sleep(4500);
                if (trouble) {
                    runners.set(kill, runner(system, kill, "i-8a0b22d" + kill, record));
                }
                Thread.sleep(2500);
            }
            stop.set(true);
            for (Thread client : clients) {
                client.join(5000);
            }
        } finally {
            runners.forEach(Process::destroyForcibly);
        }
        record.say(
                whole
                        + " successes with the whole body, "
                        + shortBodies
                        + " successes with a part of it, "
                        + shortStreams
                        + " streams that end as complete before their last piece, "
                        + others
                        + " other outcomes");
        if (whole.get() < 100) {
            return 2;
        }
        boolean broken = shortBodies.get() + shortStreams.get() > 0;
        record.say(broken ? "MIXED is broken" : "MIXED holds");
        return broken ? 1 : 0;
    }

    private static Process runner(Deployment system, int number, String id, Record record)
            throws IOException {
        int zone = number % Deployment.ZONES.size();
        File log = system.scratch.resolve(id + ".log").toFile();
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "RunnerProcess",
                                id,
                                "feed-api",
                                Deployment.ZONES.get(zone),
                                system.ip(zone + 1, 60 + number),
                                String.join(",", system.controls()),
                                system.scratch.resolve(id + ".txt").toString())
                        .redirectErrorStream(true)
                        .redirectOutput(log)
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.line("runner " + id + " starts");
        return process;
    }

    private static String expected(String stamp, String requestId, boolean stream) {
        String runner = stamp.split("\\.")[0];
        return stream ? Runner.streamOf(runner, requestId) : Runner.bodyOf(runner, requestId);
    }

    private static void client(
            Node front,
            int number,
            AtomicBoolean stop,
            AtomicInteger whole,
            AtomicInteger shortBodies,
            AtomicInteger shortStreams,
            AtomicInteger others,
            Record record) {
        boolean safe = number % 3 == 0;
        boolean stream = number % 3 == 1;
        for (int i = 0; !stop.get(); i++) {
            String id = front.name + (safe ? "-s" : stream ? "-e" : "-u") + number + "-" + i;
            try {
                Map<String, String> headers =
                        Map.of("Host", "feed.example", "X-Request-Id", id, "X-Deadline-Ms", "3000");
                Http.Message answer =
                        Http.call(
                                front.front(),
                                safe ? "GET" : "POST",
                                safe ? "/snippet/2f" : stream ? "/stream/2f" : "/status/2f",
                                headers,
                                new byte[0],
                                3500);
                String stamp = answer == null ? null : answer.header("X-Server-Stamp");
                if (answer == null || answer.status() != 200 || stamp == null) {
                    others.incrementAndGet();
                    record.line("client " + id + " -> " + (answer == null ? "closed" : answer.first()));
                } else if (answer.text().equals(expected(stamp, id, stream))) {
                    whole.incrementAndGet();
                } else {
                    (stream ? shortStreams : shortBodies).incrementAndGet();
                    record.line(
                            "SHORT: client "
                                    + id
                                    + " -> 200, stamp "
                                    + stamp
                                    + ", "
                                    + answer.headers()
                                    + ", "
                                    + answer.body().length
                                    + " bytes of "
                                    + expected(stamp, id, stream).length());
                }
            } catch (IOException e) {
                others.incrementAndGet();
                record.line("client " + id + " -> " + e);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
