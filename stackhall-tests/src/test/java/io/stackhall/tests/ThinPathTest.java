package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A request from one end to the other through real processes. */
class ThinPathTest {

    @TempDir Path folder;

    @Test
    void servesThroughEachEntryHostAndKeepsTheDeploymentOverRestarts() throws IOException {
        try (Cluster cluster = twoHosts()) {
            Engine engine = cluster.engine("engine-1", "plateau");
            long revision = cluster.apply("a", Deployments.small());
            Eventually.holds("models are resident", () -> engine.holds("resumen-dakar"));
            StringBuilder session = new StringBuilder();
            for (String host : cluster.names()) {
                String url = cluster.member(host).url();
                note(session, "models", HttpCalls.get(url + "/v1/models"));
                note(session, "plain", HttpCalls.complete(url, "resumen", "u"));
                note(session, "adapter", HttpCalls.complete(url, "resumen-dakar", "u"));
                note(session, "streamed", stream(url, 3));
                note(session, "unknown model", HttpCalls.complete(url, "nobody", "u"));
                note(session, "unknown service", HttpCalls.get(url + "/services/nobody/x"));
                note(session, "not JSON", HttpCalls.post(url + "/v1/completions", "{"));
            }
            Files.writeString(Path.of("target/thin-path.actual"), session);
            String golden = Files.readString(Path.of("src/test/resources/thin-path.golden"));
            assertThat(session.toString()).isEqualTo(golden);

            for (String host : cluster.names()) {
                assertThat(cluster.member(host).process().terminate()).isZero();
            }
            cluster.names().forEach(cluster::startHost);
            cluster.awaitRevision(revision);
            Eventually.holds(
                    "served after the restart",
                    () ->
                            HttpCalls.complete(cluster.member("b").url(), "resumen", "u").status()
                                    == 200);
        }
    }

    @Test
    void plannedStopDuringStreamCutsNothing() {
        try (Cluster cluster = twoHosts()) {
            Engine engine = cluster.engine("engine-1", "plateau", "--token-millis", "40");
            cluster.apply("a", Deployments.small());
            Eventually.holds("the model is resident", () -> engine.holds("resumen"));
            String url = cluster.member("b").url();
            CompletableFuture<Reply> running =
                    HttpCalls.postAsync(
                            url + "/v1/chat/completions", HttpCalls.body("resumen", "u", true, 40));
            Eventually.holds("the stream runs", () -> engine.state().path("runs").asInt() == 1);
            assertThat(cluster.member("b").process().terminate()).isZero();
            assertThat(running.join().body()).contains("resumen-39").endsWith("data: [DONE]\n\n");
        }
    }

    private Cluster twoHosts() {
        return new Cluster(folder)
                .host("a", "plateau")
                .diskless("b", "plateau")
                .control("a")
                .start();
    }

    private static Reply stream(String url, int tokens) {
        return HttpCalls.post(
                url + "/v1/chat/completions", HttpCalls.body("resumen", "u", true, tokens));
    }

    private static void note(StringBuilder session, String what, Reply reply) {
        session.append("# ").append(what).append('\n').append(reply.status());
        for (String header : new String[] {"Content-Type", "Stackhall-Outcome", "Retry-After"}) {
            if (!reply.header(header).isEmpty()) {
                session.append(' ').append(header).append('=').append(reply.header(header));
            }
        }
        session.append('\n').append(reply.body()).append('\n');
    }
}
