package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.stackhall.rpc.generated.operators.Policy;
import io.stackhall.server.json.Json;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.RunningProcess;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Policies are changed without a restart and compared on the same live traffic. */
class CompareTest {

    private static final int REQUESTS = 25;

    @TempDir Path folder;

    @Test
    void policiesInForceAndInShadowAreComparedAcrossAChange() throws IOException {
        try (Cluster cluster = new Cluster(folder).host("a", "plateau").control("a").start()) {
            Engine engine = cluster.engine("engine-1", "plateau");
            applyPolicy(cluster, "expected-gain", "least-recently-used");
            Eventually.holds("resident", () -> engine.holds("resumen"));
            String url = cluster.member("a").url();
            Eventually.holds(
                    "served", () -> HttpCalls.complete(url, "resumen", "u").status() == 200);
            Path report = folder.resolve("report.html");
            Path out = folder.resolve("compare.log");
            RunningProcess compare =
                    RunningProcess.start(
                            out,
                            "compare",
                            "--operators",
                            "127.0.0.1:" + cluster.member("a").operatorsPort(),
                            "--seconds",
                            "600",
                            "--every",
                            "0.5",
                            "--report",
                            report.toString());
            Eventually.holds("watching", () -> Files.readString(out).contains("comparing"));
            send(url);
            applyPolicy(cluster, "static", "");
            send(url);
            Eventually.holds("counted", () -> attained(url, "static") == REQUESTS);
            assertThat(compare.terminate()).isZero();
            Map<String, JsonNode> policies = policies(Files.readString(out));
            assertThat(policies.get("expected-gain").at("/totals/attained").asInt())
                    .isEqualTo(REQUESTS);
            assertThat(policies.get("static").at("/totals/attained").asInt()).isEqualTo(REQUESTS);
            assertThat(policies).containsKey("least-recently-used (shadow)");
            assertThat(Files.readString(report)).contains("<svg").contains("static");
        }
    }

    private static void applyPolicy(Cluster cluster, String active, String compared) {
        Policy policy = Policy.newBuilder().setActive(active).setCompared(compared).build();
        cluster.apply("a", Deployments.small().toBuilder().setPolicy(policy).build());
    }

    private static void send(String url) {
        for (int at = 0; at < REQUESTS; at++) {
            assertThat(HttpCalls.complete(url, "resumen", "u").status()).isEqualTo(200);
        }
    }

    private static int attained(String url, String policy) {
        String name = "stackhall_policy_requests_attained_total{policy=\"" + policy + "\"} ";
        return HttpCalls.get(url + "/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith(name))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(name.length())))
                .sum();
    }

    private static Map<String, JsonNode> policies(String printed) throws IOException {
        String line = printed.substring(printed.indexOf('{'), printed.lastIndexOf('}') + 1);
        Map<String, JsonNode> policies = new HashMap<>();
        Json.mapper()
                .readTree(line)
                .path("policies")
                .forEach(of -> policies.put(of.path("policy").asText(), of));
        return policies;
    }
}
