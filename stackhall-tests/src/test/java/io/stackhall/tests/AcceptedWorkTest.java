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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Work that was accepted is neither lost nor doubled. */
class AcceptedWorkTest {

    @TempDir Path folder;

    @Test
    void workSurvivesTheKillOfEachHostInTurn() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine = cluster.engine("engine-1", "plateau", "--token-millis", "15");
            cluster.apply("a", Deployments.small());
            Eventually.holds("the models are resident", () -> engine.holds("picker"));
            List<String> locations = new ArrayList<>();
            for (String killed : cluster.names()) {
                String entry =
                        cluster.names().stream()
                                .filter(name -> !name.equals(killed))
                                .findFirst()
                                .orElseThrow();
                for (int at = 0; at < 10; at++) {
                    String user = killed + "-" + at;
                    String model = at % 2 == 0 ? "picker" : "resumen";
                    locations.add(accept(cluster, entry, model, user));
                }
                cluster.member(killed).process().kill();
                Eventually.pause(300);
                cluster.startHost(killed);
            }
            Map<String, Integer> ends = new HashMap<>();
            for (String location : locations) {
                ends.merge(awaitEnd(cluster, location), 1, Integer::sum);
            }
            Map<String, Integer> runs = engine.runsByUser();
            for (String killed : cluster.names()) {
                for (int at = 0; at < 10; at += 2) {
                    assertThat(runs.getOrDefault(killed + "-" + at, 0))
                            .as("runs of work that is not repeatable, %s-%d", killed, at)
                            .isLessThanOrEqualTo(1);
                }
                for (int at = 1; at < 10; at += 2) {
                    assertThat(runs.getOrDefault(killed + "-" + at, 0))
                            .as("runs of repeatable work, %s-%d", killed, at)
                            .isPositive();
                }
            }
            assertThat(ends.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(30);
            assertThat(ends.getOrDefault("answered", 0)).isGreaterThanOrEqualTo(15);
        }
    }

    @Test
    void sameKeyNamesTheSameWorkAndWaitingWorkCanBeCancelled() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            cluster.apply("a", Deployments.small());
            String first = accept(cluster, "a", "picker", "u", "Idempotency-Key", "k");
            String second = accept(cluster, "b", "picker", "u", "Idempotency-Key", "k");
            assertThat(second).isEqualTo(first);
            Reply waiting = HttpCalls.get(cluster.member("c").url() + first);
            assertThat(waiting.status()).isEqualTo(202);
            assertThat(waiting.header("Retry-After")).isNotEmpty();
        }
    }

    private static String accept(
            Cluster cluster, String host, String model, String user, String... headers) {
        List<String> all = new ArrayList<>(List.of(headers));
        all.addAll(List.of("Prefer", "respond-async"));
        List<String> location = new ArrayList<>();
        Eventually.holds(
                "work is accepted",
                () -> {
                    Reply reply =
                            HttpCalls.complete(
                                    cluster.member(host).url(),
                                    model,
                                    user,
                                    all.toArray(String[]::new));
                    if (reply.status() != 202) {
                        return false;
                    }
                    location.add(reply.header("Location"));
                    return true;
                });
        return location.getFirst();
    }

    private static String awaitEnd(Cluster cluster, String location) {
        List<String> end = new ArrayList<>();
        Eventually.holds(
                "the end of " + location,
                () -> {
                    Reply reply = HttpCalls.get(cluster.member("a").url() + location);
                    if (reply.status() != 200) {
                        return false;
                    }
                    end.add(reply.body().contains("unknown") ? "unknown" : "answered");
                    return true;
                });
        return end.getFirst();
    }
}
