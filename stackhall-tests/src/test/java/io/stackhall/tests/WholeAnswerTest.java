package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An answer is whole, or it says that it is not. */
class WholeAnswerTest {

    private static final int TOKENS = 40;

    @TempDir Path folder;

    @Test
    void streamWhoseConnectionBreaksIsResumedAtItsOffset() {
        try (Cluster cluster = oneHost()) {
            Engine engine = engine(cluster);
            engine.proxy().breakAfterAnswerBytes(2500);
            CompletableFuture<Reply> running = stream(cluster);
            Reply reply = running.join();
            StringBuilder expected = new StringBuilder();
            for (int at = 0; at < TOKENS; at++) {
                expected.append("resumen-").append(at).append(' ');
            }
            assertThat(contentOf(reply.body())).isEqualTo(expected.toString());
            assertThat(reply.body()).endsWith("data: [DONE]\n\n");
            assertThat(engine.state().path("runs").asInt()).isEqualTo(1);
        }
    }

    @Test
    void streamOfKilledUpstreamEndsInAnExplicitError() {
        try (Cluster cluster = oneHost()) {
            Engine engine = engine(cluster);
            CompletableFuture<Reply> running = stream(cluster);
            Eventually.holds("it runs", () -> engine.state().path("runs").asInt() == 1);
            Eventually.pause(300);
            engine.process().kill();
            String body = running.join().body();
            assertThat(body).contains("\"code\":\"stream_broken\"").contains("unknown");
            assertThat(body).doesNotContain("[DONE]");
        }
    }

    @Test
    void plainAnswerThatIsCutShortIsNeverPassedOn() {
        try (Cluster cluster = oneHost()) {
            Engine engine = engine(cluster);
            engine.proxy().breakAfterAnswerBytes(200);
            Reply reply =
                    HttpCalls.post(
                            cluster.member("a").url() + "/v1/chat/completions",
                            HttpCalls.body("picker", "u", false, 30));
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Stackhall-Outcome")).isEqualTo("unknown");
            assertThat(engine.runsByUser()).containsEntry("u", 1);
        }
    }

    @Test
    void answerThatComesAfterTheDeadlineIsStillGivenWhole() {
        try (Cluster cluster = oneHost()) {
            Engine engine = engine(cluster);
            Reply reply =
                    HttpCalls.post(
                            cluster.member("a").url() + "/v1/chat/completions",
                            HttpCalls.body("picker", "late", false, TOKENS),
                            "Stackhall-Deadline-Ms",
                            "600");
            assertThat(reply.status()).as(reply.body()).isEqualTo(200);
            assertThat(reply.body()).contains("picker-" + (TOKENS - 1));
            assertThat(engine.runsByUser()).containsEntry("late", 1);
        }
    }

    @Test
    void requestThatReachesNobodyIsNotRunAndSaysWhenToComeBack() {
        try (Cluster cluster = oneHost()) {
            Engine engine = engine(cluster);
            engine.close();
            Reply reply = HttpCalls.complete(cluster.member("a").url(), "picker", "u");
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.header("Stackhall-Outcome")).isEqualTo("not-run");
            assertThat(reply.header("Retry-After")).isNotEmpty();
        }
    }

    private Cluster oneHost() {
        return new Cluster(folder).host("a", "plateau").control("a").start();
    }

    private static Engine engine(Cluster cluster) {
        Engine engine = cluster.engine("engine-1", "plateau", "--token-millis", "25");
        cluster.apply("a", Deployments.small());
        Eventually.holds("the models are resident", () -> engine.holds("picker"));
        Eventually.holds("the models are resident", () -> engine.holds("resumen"));
        Eventually.pause(300);
        return engine;
    }

    private static CompletableFuture<Reply> stream(Cluster cluster) {
        return HttpCalls.postAsync(
                cluster.member("a").url() + "/v1/chat/completions",
                HttpCalls.body("resumen", "u", true, TOKENS));
    }

    private static String contentOf(String events) {
        StringBuilder content = new StringBuilder();
        String mark = "\"content\":\"";
        int at = events.indexOf(mark);
        while (at >= 0) {
            int start = at + mark.length();
            content.append(events, start, events.indexOf('"', start));
            at = events.indexOf(mark, start);
        }
        return content.toString();
    }
}
