package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A request that is not repeatable runs at most once, whatever is resent where. */
class AtMostOnceTest {

    private static final int KEYS = 200;

    @TempDir Path folder;

    @Test
    void keyResentThroughAnotherHostAndZoneAfterItsEntryHostDiedRunsOnce() {
        try (Cluster cluster = twoZones()) {
            List<Engine> engines = engines(cluster, "--token-millis", "20");
            List<CompletableFuture<Reply>> first = new ArrayList<>();
            for (int at = 0; at < KEYS; at++) {
                first.add(send(cluster, "p1", at));
            }
            Eventually.holds("many run", () -> totalRuns(engines) >= 20);
            cluster.member("p1").process().kill();
            first.forEach(reply -> reply.exceptionally(failure -> null).join());
            List<CompletableFuture<Reply>> again = new ArrayList<>();
            for (String host : List.of("p2", "y1")) {
                for (int at = 0; at < KEYS; at++) {
                    again.add(send(cluster, host, at));
                }
            }
            again.forEach(CompletableFuture::join);
            assertEachRanAtMostOnce(engines);
            for (CompletableFuture<Reply> reply : again) {
                assertTellsTheTruth(reply.join());
            }
        }
    }

    @Test
    void resendGetsTheStoredAnswerThroughAnyHost() {
        try (Cluster cluster = twoZones()) {
            List<Engine> engines = engines(cluster);
            Reply first = send(cluster, "p1", 1).join();
            assertThat(first.status()).isEqualTo(200);
            for (String host : cluster.names()) {
                Reply again = send(cluster, host, 1).join();
                assertThat(again.status()).isEqualTo(200);
                assertThat(again.body()).isEqualTo(first.body());
                assertThat(again.header("Stackhall-Replayed")).isEqualTo("true");
            }
            Reply other =
                    HttpCalls.complete(
                            cluster.member("p1").url(), "picker", "v", "Idempotency-Key", "key-1");
            assertThat(other.status()).isEqualTo(422);
            assertThat(totalRuns(engines)).isEqualTo(1);
        }
    }

    @Test
    void keySentOnBothSidesOfACutRunsOnceAndEachSideServesItsShare() {
        try (Cluster cluster = twoZones()) {
            List<Engine> engines = engines(cluster);
            cluster.cutOff(List.of("y1", "y2"), true);
            Eventually.pause(3000);
            List<CompletableFuture<Reply>> replies = new ArrayList<>();
            for (int at = 0; at < 40; at++) {
                replies.add(send(cluster, "p1", at));
                replies.add(send(cluster, "y1", at));
            }
            Map<Integer, Integer> served = new HashMap<>();
            for (int at = 0; at < replies.size(); at++) {
                Reply reply = replies.get(at).join();
                assertTellsTheTruth(reply);
                if (reply.status() == 200) {
                    served.merge(at % 2, 1, Integer::sum);
                }
            }
            assertThat(served.get(0)).as("served in plateau").isPositive();
            cluster.cutOff(List.of("y1", "y2"), false);
            Eventually.pause(2000);
            for (int at = 0; at < 40; at++) {
                send(cluster, "y2", at).join();
            }
            assertEachRanAtMostOnce(engines);
        }
    }

    @Test
    void upstreamKilledWhileItRunsLeavesTheOutcomeUnknownAndIsNotRunAgain() {
        try (Cluster cluster = twoZones()) {
            List<Engine> engines = engines(cluster, "--token-millis", "300");
            CompletableFuture<Reply> running = send(cluster, "p1", 7);
            Eventually.holds("it runs", () -> totalRuns(engines) == 1);
            Engine engine =
                    engines.stream().filter(one -> runs(one) == 1).findFirst().orElseThrow();
            engine.process().kill();
            Reply reply = running.join();
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Stackhall-Outcome")).isEqualTo("unknown");
            assertThat(reply.header("Retry-After")).isNotEmpty();
            Reply again = send(cluster, "y1", 7).join();
            assertThat(again.status()).isEqualTo(503);
            assertThat(again.header("Stackhall-Outcome")).isEqualTo("unknown");
            int others =
                    engines.stream()
                            .filter(one -> one != engine)
                            .mapToInt(AtMostOnceTest::runs)
                            .sum();
            assertThat(others).isZero();
        }
    }

    private Cluster twoZones() {
        return new Cluster(folder)
                .host("p1", "plateau")
                .host("p2", "plateau")
                .host("y1", "yoff")
                .host("y2", "yoff")
                .control("p1", "p2", "y1")
                .start();
    }

    private static List<Engine> engines(Cluster cluster, String... options) {
        List<Engine> engines =
                List.of(
                        cluster.engine("engine-p", "plateau", options),
                        cluster.engine("engine-y", "yoff", options));
        cluster.apply("p1", Deployments.small());
        for (Engine engine : engines) {
            Eventually.holds("the model is resident", () -> engine.holds("picker"));
        }
        for (String host : cluster.names()) {
            Eventually.holds(
                    "served through " + host,
                    () ->
                            HttpCalls.complete(cluster.member(host).url(), "resumen", "").status()
                                    == 200);
        }
        return engines;
    }

    private static CompletableFuture<Reply> send(Cluster cluster, String host, int key) {
        return HttpCalls.postAsync(
                cluster.member(host).url() + "/v1/chat/completions",
                HttpCalls.body("picker", "user-" + key, false, 4),
                "Idempotency-Key",
                "key-" + key);
    }

    /** Counts what named users have asked for; the requests that warm up name none. */
    private static int runs(Engine engine) {
        return engine.runsByUser().values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int totalRuns(List<Engine> engines) {
        return engines.stream().mapToInt(AtMostOnceTest::runs).sum();
    }

    private static void assertEachRanAtMostOnce(List<Engine> engines) {
        Map<String, Integer> runs = new HashMap<>();
        for (Engine engine : engines) {
            engine.runsByUser().forEach((user, count) -> runs.merge(user, count, Integer::sum));
        }
        assertThat(runs).isNotEmpty().allSatisfy((user, count) -> assertThat(count).isOne());
    }

    private static void assertTellsTheTruth(Reply reply) {
        if (reply.status() != 200) {
            assertThat(reply.header("Stackhall-Outcome")).isIn("unknown", "not-run");
            assertThat(reply.header("Retry-After")).isNotEmpty();
        }
    }
}
