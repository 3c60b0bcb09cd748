package io.stackhall.server.bench;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Prints the processor time per request of a new entry process, in groups of 100 requests, by its
 * processor share: a share of 0.5 has no warm-up. Needs the output of {@code bin/platform-build}.
 */
class WarmUpBenchmark {

    private static final double[] SHARES = {0.5, 0.12, 0.27, 0.36};
    private static final int RUNS = 1;
    private static final int GROUPS = 6;
    private static final int GROUP_SIZE = 100;
    private static final int REQUESTS_PER_CONNECTION = 4;
    private static final int EVENTS = 8;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(5);
    private static final Duration IDLE_TIME = Duration.ofSeconds(8);
    private static final long INTERVAL_MILLIS = 20;

    @TempDir private Path folder;
    private int number;

    @Test
    void processorTimePerRequest() throws Exception {
        for (int run = 1; run <= RUNS; run++) {
            for (double share : SHARES) {
                measure(share);
            }
        }
    }

    private void measure(double share) throws Exception {
        number++;
        Path state = Files.createDirectory(folder.resolve("run-" + number));
        try (MeasuredEntryHost host = new MeasuredEntryHost(state, share, EVENTS, EVENT_INTERVAL)) {
            TimeUnit.MILLISECONDS.sleep(IDLE_TIME.toMillis());
            Duration idle = host.use().processorTime();
            host.connect();
            print(share, host, idle);
        }
    }

    private static void print(double share, MeasuredEntryHost host, Duration idle)
            throws Exception {
        StringBuilder line = new StringBuilder();
        for (int group = 0; group < GROUPS; group++) {
            MeasuredEntryHost.Use before = host.use();
            long[] micros = new long[GROUP_SIZE];
            for (int first = 0; first < GROUP_SIZE; first += REQUESTS_PER_CONNECTION) {
                callOnNewConnection(host, group, first, micros);
            }
            Arrays.sort(micros);
            Duration used = host.use().since(before).processorTime();
            line.append(
                    String.format(
                            Locale.ROOT,
                            " %.2f/%.1f",
                            used.toMillis() / (double) GROUP_SIZE,
                            micros[GROUP_SIZE / 2] / 1000.0));
        }
        System.out.println(
                "BENCH share="
                        + share
                        + " idleMs="
                        + idle.toMillis()
                        + " processorMsPerRequest/medianMs="
                        + line
                        + " "
                        + host.lines("warm-up."));
    }

    private static void callOnNewConnection(
            MeasuredEntryHost host, int group, int first, long[] micros) throws Exception {
        try (Socket caller = host.caller()) {
            for (int index = first; index < first + REQUESTS_PER_CONNECTION; index++) {
                String id = group + "-" + index;
                long sent = System.nanoTime();
                if (index % 2 == 0) {
                    MeasuredEntryHost.stream(caller, id);
                } else {
                    MeasuredEntryHost.plain(caller, id);
                }
                micros[index] = (System.nanoTime() - sent) / 1000;
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
        }
    }
}
