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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Many more requests than can be served: urgent callers are kept, and the process stays. */
class OverloadTest {

    private static final int CROWD = 1500;

    @TempDir Path folder;

    @Test
    void crowdIsRefusedTruthfullyWhileUrgentCallersAreServed() {
        try (Cluster cluster = new Cluster(folder).host("a", "plateau").control("a").start()) {
            Engine engine = cluster.engine("engine-1", "plateau", "--direct");
            cluster.apply("a", Deployments.small());
            Eventually.holds("resident", () -> engine.holds("resumen"));
            String url = cluster.member("a").url();
            Eventually.holds(
                    "served", () -> HttpCalls.complete(url, "resumen", "").status() == 200);
            List<CompletableFuture<Reply>> crowd = new ArrayList<>();
            List<CompletableFuture<Reply>> urgent = new ArrayList<>();
            for (int at = 0; at < CROWD; at++) {
                crowd.add(send(url, "crowd-" + at, "normal", "1500"));
                if (at % 50 == 0) {
                    urgent.add(send(url, "urgent-" + at, "urgent", "10000"));
                }
            }
            int refused = 0;
            for (CompletableFuture<Reply> reply : crowd) {
                refused += assertServedOrRefused(reply.join());
            }
            assertThat(refused).isPositive();
            for (CompletableFuture<Reply> reply : urgent) {
                assertThat(reply.join().status()).isEqualTo(200);
            }
            assertThat(cluster.member("a").process().alive()).isTrue();
            Eventually.holds(
                    "back to normal",
                    () -> HttpCalls.complete(url, "resumen", "after").status() == 200);
            int refusedButRun =
                    (int)
                            engine.runsByUser().keySet().stream()
                                    .filter(user -> user.startsWith("crowd-"))
                                    .count();
            assertThat(refusedButRun).isEqualTo(CROWD - refused);
        }
    }

    private static CompletableFuture<Reply> send(
            String url, String user, String priority, String deadlineMillis) {
        return HttpCalls.postAsync(
                url + "/v1/chat/completions",
                HttpCalls.body("resumen", user, false, 4),
                "Stackhall-Priority",
                priority,
                "Stackhall-Deadline-Ms",
                deadlineMillis);
    }

    private static int assertServedOrRefused(Reply reply) {
        if (reply.status() == 200) {
            return 0;
        }
        assertThat(reply.status()).as(reply.body()).isIn(429, 503);
        assertThat(reply.header("Stackhall-Outcome")).isEqualTo("not-run");
        assertThat(reply.header("Retry-After")).isNotEmpty();
        return 1;
    }
}
