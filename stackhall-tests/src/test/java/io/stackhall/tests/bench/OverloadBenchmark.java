package io.stackhall.tests.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Measures one engine behind one entry host at several times its capacity. */
class OverloadBenchmark {

    private static final double SECONDS = 10;
    private static final int SLOTS = 8;
    private static final double CAPACITY = SLOTS / 0.060;
    private static final long DEADLINE_MILLIS = 500;
    private static final double URGENT_SHARE = 0.2;

    @TempDir Path folder;

    private HttpClient client;

    /** What one kind of caller got. */
    private static final class Tally {
        private final AtomicInteger offered = new AtomicInteger();
        private final AtomicInteger attained = new AtomicInteger();
        private final Histogram millis = new Histogram(60_000, 3);
        private final Histogram refusedMillis = new Histogram(60_000, 3);

        private synchronized void end(int status, long took) {
            if (status == 200) {
                millis.recordValue(took);
                if (took <= DEADLINE_MILLIS) {
                    attained.incrementAndGet();
                }
            } else {
                refusedMillis.recordValue(took);
            }
        }
    }

    @Test
    void attainmentOfUrgentCallersAndGoodput() throws Exception {
        client = new HttpClient();
        client.setMaxConnectionsPerDestination(4096);
        client.setMaxRequestsQueuedPerDestination(8192);
        client.start();
        try (Cluster cluster = new Cluster(folder).host("a", "plateau").control("a").start()) {
            Engine engine = cluster.engine("engine-1", "plateau", "--direct");
            cluster.apply("a", Deployments.small());
            Eventually.holds("resident", () -> engine.holds("resumen"));
            String url = cluster.member("a").url();
            run(url, 0.5, 3, false);
            for (double times : new double[] {0.5, 1, 2, 10}) {
                run(url, times, SECONDS, true);
                Eventually.pause(1500);
            }
        } finally {
            client.stop();
        }
    }

    private void run(String url, double times, double seconds, boolean print)
            throws InterruptedException {
        double rate = times * CAPACITY;
        int count = (int) (rate * seconds);
        CountDownLatch open = new CountDownLatch(count);
        Tally urgent = new Tally();
        Tally normal = new Tally();
        long start = System.nanoTime();
        for (int at = 0; at < count; at++) {
            long due = start + (long) (at / rate * 1e9);
            long left = due - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            boolean isUrgent = at % Math.round(1 / URGENT_SHARE) == 0;
            send(url, isUrgent, isUrgent ? urgent : normal, due, open);
        }
        open.await(60, TimeUnit.SECONDS);
        if (print) {
            System.out.printf(
                    "BENCH overload %.1f times: urgent attained %.4f (p99 %d ms), normal attained"
                            + " %.4f, goodput %.1f a second of capacity %.1f, refused p99 %d ms%n",
                    times,
                    urgent.attained.get() / (double) urgent.offered.get(),
                    urgent.millis.getValueAtPercentile(99),
                    normal.attained.get() / (double) normal.offered.get(),
                    (urgent.attained.get() + normal.attained.get()) / seconds,
                    CAPACITY,
                    normal.refusedMillis.getValueAtPercentile(99));
        }
        assertThat(open.getCount()).isZero();
    }

    private void send(String url, boolean urgent, Tally tally, long due, CountDownLatch open) {
        tally.offered.incrementAndGet();
        Request request =
                client.POST(url + "/v1/chat/completions")
                        .timeout(30, TimeUnit.SECONDS)
                        .body(
                                new StringRequestContent(
                                        "application/json", "{\"model\":\"resumen\"}"));
        request.headers(
                headers -> {
                    headers.put("Stackhall-Deadline-Ms", Long.toString(DEADLINE_MILLIS));
                    headers.put("Stackhall-Priority", urgent ? "urgent" : "normal");
                });
        request.send(
                new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        int status = result.isSucceeded() ? result.getResponse().getStatus() : 0;
                        tally.end(status, (System.nanoTime() - due) / 1_000_000);
                        open.countDown();
                    }
                });
    }
}
