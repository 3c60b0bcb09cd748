package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A zone that cannot serve a request has another zone serve it, while they can talk. */
class ZoneFallbackTest {

    private static final int REQUESTS = 20;

    @TempDir Path folder;

    @Test
    void zoneWithoutEnginesIsServedByAnotherUntilItIsCutOffAndAgainAfterwards() {
        try (Cluster cluster = twoZones()) {
            Engine engine = engine(cluster, "there", "yoff");
            String here = cluster.member("a").url();
            awaitServed(here);
            Reply stream =
                    HttpCalls.post(
                            here + "/v1/chat/completions",
                            HttpCalls.body("resumen", "streamed", true, 20));
            assertThat(stream.body()).endsWith("data: [DONE]\n\n");
            assertThat(stream.body()).contains("resumen-19");
            cluster.cutOff(List.of("a", "b", "c"), true);
            Eventually.holds(
                    "refused, not run, with a time to come back",
                    () -> {
                        Reply reply = complete(here, "cut", "500");
                        return reply.status() == 503
                                && reply.header("Stackhall-Outcome").equals("not-run")
                                && !reply.header("Retry-After").isEmpty();
                    });
            int before = engine.state().path("runs").asInt();
            assertThat(complete(here, "cut", "500").status()).isEqualTo(503);
            assertThat(engine.state().path("runs").asInt()).isEqualTo(before);
            cluster.cutOff(List.of("a", "b", "c"), false);
            awaitServed(here);
        }
    }

    @Test
    void lossOfAllEnginesOfAZoneMovesItsRequestsAndTheirReturnBringsThemBack() {
        try (Cluster cluster = twoZones()) {
            Engine near = engine(cluster, "here", "plateau");
            Engine far = engine(cluster, "there", "yoff");
            String here = cluster.member("a").url();
            awaitServed(here);
            near.process().kill();
            awaitServed(here);
            for (int at = 0; at < REQUESTS; at++) {
                assertThat(complete(here, "moved-" + at, "10000").status()).isEqualTo(200);
            }
            assertThat(far.runsByUser()).containsEntry("moved-0", 1);
            near.start();
            Eventually.holds("resident again", () -> near.holds("resumen"));
            Eventually.holds(
                    "served here again",
                    () -> {
                        complete(here, "back", "10000");
                        return near.runsByUser().containsKey("back");
                    });
        }
    }

    @Test
    void whatIsNotRepeatableRunsAtMostOnceThoughTheOtherZonesHostsDieWithIt() {
        try (Cluster cluster = twoZones()) {
            Engine engine = engine(cluster, "there", "yoff", "--token-millis", "300");
            String here = cluster.member("a").url();
            awaitServed(here);
            CompletableFuture<Reply> running =
                    HttpCalls.postAsync(
                            here + "/v1/chat/completions",
                            HttpCalls.body("picker", "once", false, 8),
                            "Idempotency-Key",
                            "plateau:once");
            Eventually.holds("it runs", () -> engine.runsByUser().containsKey("once"));
            List.of("d", "e").forEach(name -> cluster.member(name).process().kill());
            Reply reply = running.join();
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Stackhall-Outcome")).isEqualTo("unknown");
            Reply resent =
                    HttpCalls.post(
                            cluster.member("b").url() + "/v1/chat/completions",
                            HttpCalls.body("picker", "once", false, 8),
                            "Idempotency-Key",
                            "plateau:once");
            assertThat(resent.header("Stackhall-Outcome")).isEqualTo("unknown");
            assertThat(engine.runsByUser()).containsEntry("once", 1);
        }
    }

    private Cluster twoZones() {
        return new Cluster(folder)
                .host("a", "plateau")
                .host("b", "plateau")
                .host("c", "plateau")
                .host("d", "yoff")
                .host("e", "yoff")
                .control("a", "b", "d")
                .start();
    }

    private static Engine engine(Cluster cluster, String id, String zone, String... options) {
        Engine engine = cluster.engine(id, zone, options);
        cluster.apply("a", Deployments.small());
        Eventually.holds("resident", () -> engine.holds("resumen") && engine.holds("picker"));
        return engine;
    }

    private static void awaitServed(String url) {
        Eventually.holds("served", () -> complete(url, "first", "2000").status() == 200);
    }

    private static Reply complete(String url, String user, String deadlineMillis) {
        return HttpCalls.complete(url, "resumen", user, "Stackhall-Deadline-Ms", deadlineMillis);
    }
}
