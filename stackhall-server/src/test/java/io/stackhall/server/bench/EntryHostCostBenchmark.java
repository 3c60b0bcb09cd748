package io.stackhall.server.bench;

import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Prints what a small entry host uses while it is idle, for a stream of 28 events and for a plain
 * request: processor time, and the times that one of its threads has slept until then. The first
 * groups of requests are those of a host that has just started.
 */
class EntryHostCostBenchmark {

    private static final double SHARE = 0.36;
    private static final int EVENTS = 28;
    private static final Duration EVENT_INTERVAL =
            Duration.ofMillis(Long.getLong("event.millis", 40));
    private static final Duration WARM_UP_TIME =
            Duration.ofSeconds(Long.getLong("warm.up.seconds", 10));
    private static final Duration IDLE_TIME = Duration.ofSeconds(5);
    private static final int GROUPS = 5;
    private static final int GROUP_SIZE = Integer.getInteger("group.size", 40);
    private static final Duration START_INTERVAL =
            Duration.ofMillis(Long.getLong("start.millis", 180));

    @TempDir private Path folder;

    /** One call of one caller. */
    @FunctionalInterface
    private interface Call {
        void run(Socket caller, String id) throws Exception;
    }

    @Test
    void costOfRequests() throws Exception {
        try (MeasuredEntryHost host = new MeasuredEntryHost(folder, SHARE, EVENTS, EVENT_INTERVAL);
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            TimeUnit.NANOSECONDS.sleep(WARM_UP_TIME.toNanos());
            host.connect();
            print("streams", requests(host, callers, "s", MeasuredEntryHost::stream));
            print("plain", requests(host, callers, "p", MeasuredEntryHost::plain));
            print("idle second", idle(host));
            System.out.println("BENCH " + host.lines("warm-up."));
        }
    }

    private static String idle(MeasuredEntryHost host) throws Exception {
        TimeUnit.NANOSECONDS.sleep(IDLE_TIME.toNanos());
        MeasuredEntryHost.Use before = host.use();
        TimeUnit.NANOSECONDS.sleep(IDLE_TIME.toNanos());
        return perUnit(host.use().since(before), (int) IDLE_TIME.toSeconds());
    }

    private static String requests(
            MeasuredEntryHost host, ExecutorService callers, String kind, Call call)
            throws Exception {
        StringBuilder groups = new StringBuilder();
        for (int group = 0; group < GROUPS; group++) {
            MeasuredEntryHost.Use before = host.use();
            List<Future<?>> calls = new ArrayList<>();
            for (int number = 0; number < GROUP_SIZE; number++) {
                String id = kind + group + "-" + number;
                calls.add(callers.submit(() -> callOnNewConnection(host, call, id)));
                TimeUnit.NANOSECONDS.sleep(START_INTERVAL.toNanos());
            }
            for (Future<?> one : calls) {
                one.get();
            }
            groups.append(' ').append(perUnit(host.use().since(before), GROUP_SIZE));
        }
        return groups.toString();
    }

    private static Void callOnNewConnection(MeasuredEntryHost host, Call call, String id)
            throws Exception {
        try (Socket caller = host.caller()) {
            call.run(caller, id);
        }
        return null;
    }

    private static String perUnit(MeasuredEntryHost.Use use, int units) {
        double millis = use.processorTime().toNanos() / 1e6;
        return String.format(
                Locale.ROOT, "%.2f/%.1f", millis / units, use.wakeUps() / (double) units);
    }

    private static void print(String what, String figures) {
        System.out.println("BENCH " + what + ": processorMs/wakeUps " + figures.strip());
    }
}
