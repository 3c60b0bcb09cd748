package io.stackhall.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays a fleet whose hosts are all overloaded alike and differ by chance alone: a connection
 * that one of them closes only comes back to another that is as full.
 */
class ConnectionsClosedByChanceTest {

    private static final int TICK_MILLIS = 20;
    private static final int REPORT_TICKS = 7;
    private static final int TICKS = 500;
    private static final int SEEDS = 5;
    private static final Duration REFUSED_FROM = Duration.ofMillis(15);
    private static final Duration DELAY = Duration.ofMillis(40);

    /** A tick in so many brings a connection to each host. */
    private static final int CONNECTION_TICKS = 3;

    private static final double MAX_CLOSED_SHARE = 0.001;

    @ParameterizedTest(name = "{0} hosts with {1} requests each")
    @CsvSource({"3, 4", "17, 1", "17, 3", "17, 8", "83, 2", "83, 5", "83, 20"})
    void nothingIsClosedWhileAllHostsAreOverloadedAlike(int hosts, double meanRequests) {
        int closed = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            closed += closed(hosts, meanRequests, new Random(seed));
        }
        int connections = hosts * SEEDS * TICKS / CONNECTION_TICKS;
        assertThat((double) closed / connections).isLessThan(MAX_CLOSED_SHARE);
    }

    private static int closed(int hosts, double meanRequests, Random random) {
        List<ConnectionShedder> shedders = new ArrayList<>();
        int[] requests = new int[hosts];
        int[] reported = new int[hosts];
        IntStream.range(0, hosts).forEach(ignored -> shedders.add(new ConnectionShedder()));
        int closed = 0;
        for (int tick = 1; tick <= TICKS; tick++) {
            if (tick % REPORT_TICKS == 1) {
                System.arraycopy(requests, 0, reported, 0, hosts);
                IntStream.range(0, hosts)
                        .forEach(host -> requests[host] = poisson(meanRequests, random));
            }
            int all = IntStream.of(reported).sum();
            for (int host = 0; host < hosts; host++) {
                WorkShare share = new WorkShare(requests[host], all - reported[host], hosts);
                ConnectionShedder shedder = shedders.get(host);
                long now = Duration.ofMillis((long) tick * TICK_MILLIS).toNanos();
                shedder.update(DELAY, REFUSED_FROM, () -> share, now);
                if (tick % CONNECTION_TICKS == 0 && shedder.closesNext()) {
                    closed++;
                }
            }
        }
        return closed;
    }

    private static int poisson(double mean, Random random) {
        int count = 0;
        double product = random.nextDouble();
        while (product > Math.exp(-mean)) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }
}
