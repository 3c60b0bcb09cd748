package io.stackhall.tests.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.load.LoadDeployment;
import io.stackhall.server.load.LoadShape;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What an entry host adds to a call: straight to the upstream, through a host, through two. */
class LatencyBenchmark {

    private static final int[] RATES = {100, 300, 1000};
    private static final int SECONDS = 15;
    private static final long LONGEST_MICROS = 60_000_000;
    private static final String SERVICE_PATH = "/services/" + LoadDeployment.SERVICE + "/x";

    @TempDir Path folder;

    private HttpClient client;

    /** One way to the upstream, and what was measured on it. */
    private static final class Way {
        private final String url;
        private final Histogram micros = new Histogram(LONGEST_MICROS, 3);
        private final AtomicInteger failed = new AtomicInteger();

        Way(String url) {
            this.url = url;
        }

        private synchronized void end(boolean served, long took) {
            if (served) {
                micros.recordValue(Math.min(LONGEST_MICROS, took));
            } else {
                failed.incrementAndGet();
            }
        }
    }

    @Test
    void straightAndThroughHosts() throws Exception {
        client = new HttpClient();
        client.setMaxConnectionsPerDestination(1024);
        client.start();
        Cluster cluster =
                new Cluster(folder).host("a", "plateau").host("b", "yoff").control("a").start();
        try (cluster) {
            Engine service =
                    cluster.engine(
                            "service",
                            "plateau",
                            "--direct",
                            "--services",
                            LoadDeployment.SERVICE,
                            "--first-token-millis",
                            "0",
                            "--slots",
                            "256");
            cluster.apply("a", LoadDeployment.of(LoadShape.SAHEL, "static", 1));
            String through = cluster.member("a").url() + SERVICE_PATH;
            String forwarded = cluster.member("b").url() + SERVICE_PATH;
            for (String url : List.of(through, forwarded)) {
                Eventually.holds("served", () -> HttpCalls.get(url).status() == 200);
            }
            Eventually.pause(6000);
            measure(service.directUrl() + SERVICE_PATH, through, forwarded, RATES[1], false);
            for (int rate : RATES) {
                measure(service.directUrl() + SERVICE_PATH, through, forwarded, rate, true);
            }
        } finally {
            client.stop();
        }
    }

    /** Each way gets the rate; the requests of the three are interleaved. */
    private void measure(String straight, String through, String forwarded, int rate, boolean print)
            throws InterruptedException {
        Map<String, Way> ways = new LinkedHashMap<>();
        ways.put("straight", new Way(straight));
        ways.put("through a host", new Way(through));
        ways.put("through two hosts", new Way(forwarded));
        List<Way> inTurn = new ArrayList<>(ways.values());
        int count = rate * SECONDS * inTurn.size();
        CountDownLatch open = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int at = 0; at < count; at++) {
            long due = start + (long) (at * 1e9 / rate / inTurn.size());
            long left = due - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            send(inTurn.get(at % inTurn.size()), due, open);
        }
        assertThat(open.await(60, TimeUnit.SECONDS)).isTrue();
        if (print) {
            ways.forEach((name, way) -> print(rate, name, way));
        }
    }

    private static void print(int rate, String name, Way way) {
        System.out.printf(
                "BENCH latency %d a second, %s: p50 %.2f, p99 %.2f, p99.9 %.2f ms, failed %d%n",
                rate,
                name,
                way.micros.getValueAtPercentile(50) / 1e3,
                way.micros.getValueAtPercentile(99) / 1e3,
                way.micros.getValueAtPercentile(99.9) / 1e3,
                way.failed.get());
    }

    private void send(Way way, long due, CountDownLatch open) {
        client.newRequest(way.url)
                .timeout(30, TimeUnit.SECONDS)
                .send(
                        new BufferingResponseListener() {
                            @Override
                            public void onComplete(Result result) {
                                boolean served =
                                        result.isSucceeded()
                                                && result.getResponse().getStatus() == 200;
                                way.end(served, (System.nanoTime() - due) / 1000);
                                open.countDown();
                            }
                        });
    }
}
