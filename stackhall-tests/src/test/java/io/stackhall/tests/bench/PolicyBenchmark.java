package io.stackhall.tests.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.load.LoadDeployment;
import io.stackhall.server.load.LoadResult;
import io.stackhall.server.load.LoadRunner;
import io.stackhall.server.load.LoadShape;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the policies side by side on the same traffic: attainment per accelerator and moves. */
class PolicyBenchmark {

    private static final List<String> POLICIES =
            List.of("expected-gain", "least-recently-used", "static");
    private static final double SECONDS = Double.parseDouble(System.getProperty("seconds", "75"));
    private static final double RATE = Double.parseDouble(System.getProperty("rate", "30"));
    private static final double WARM = Double.parseDouble(System.getProperty("warm", "60"));
    private static final int ACCELERATORS_PER_RUNNER = 4;

    @TempDir Path folder;

    @Test
    void bothShapesSideBySide() throws Exception {
        List<CompletableFuture<Void>> shapes = new ArrayList<>();
        for (LoadShape shape : LoadShape.values()) {
            shapes.add(
                    CompletableFuture.runAsync(
                            () -> compare(shape), task -> Thread.ofPlatform().start(task)));
        }
        shapes.forEach(CompletableFuture::join);
    }

    private void compare(LoadShape shape) {
        try {
            compareAll(shape);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void compareAll(LoadShape shape) throws Exception {
        Map<String, Cluster> clusters = new LinkedHashMap<>();
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(2048);
        client.setMaxRequestsQueuedPerDestination(4096);
        client.start();
        try {
            for (String policy : POLICIES) {
                clusters.put(policy, start(shape, policy));
            }
            Eventually.pause(3000);
            List<CompletableFuture<LoadResult>> warming = new ArrayList<>();
            clusters.values().forEach(cluster -> warming.add(load(shape, cluster, client, WARM)));
            warming.forEach(CompletableFuture::join);
            Map<String, Long> before = new LinkedHashMap<>();
            clusters.forEach((policy, cluster) -> before.put(policy, loads(policy, cluster)));
            Map<String, CompletableFuture<LoadResult>> runs = new LinkedHashMap<>();
            clusters.forEach(
                    (policy, cluster) -> runs.put(policy, load(shape, cluster, client, SECONDS)));
            for (String policy : POLICIES) {
                LoadResult result = runs.get(policy).join();
                System.out.printf(
                        "BENCH %s %s attained %d of %d, per accelerator %.5f, model %s, service %s,"
                                + " loads %d, needless %d%n",
                        shape.text(),
                        policy,
                        result.attained(),
                        result.offered(),
                        result.attainmentPerAccelerator(),
                        result.byKind().get("model"),
                        result.byKind().get("service"),
                        loads(policy, clusters.get(policy)) - before.get(policy),
                        state(policy, clusters.get(policy), "placement_needless_loads"));
                assertThat(result.offered()).isPositive();
            }
        } finally {
            clusters.values().forEach(Cluster::close);
            client.stop();
        }
    }

    private Cluster start(LoadShape shape, String policy) {
        Cluster cluster =
                new Cluster(folder.resolve(shape.text() + "-" + policy))
                        .host("a", "plateau")
                        .control("a")
                        .timing("orderLifetimeMillis", 10_000)
                        .start();
        cluster.engine(
                "runner",
                "plateau",
                "--direct",
                "--count",
                Integer.toString(shape.runners()),
                "--load-millis",
                "1500");
        cluster.engine(
                "service",
                "plateau",
                "--direct",
                "--count",
                Integer.toString(shape.services()),
                "--services",
                LoadDeployment.SERVICE);
        cluster.apply("a", LoadDeployment.of(shape, policy, 1));
        return cluster;
    }

    private static CompletableFuture<LoadResult> load(
            LoadShape shape, Cluster cluster, HttpClient client, double seconds) {
        LoadRunner.Options options =
                new LoadRunner.Options(
                        shape,
                        RATE,
                        seconds,
                        seconds == WARM ? 3 : 7,
                        500,
                        5000,
                        shape.runners() * ACCELERATORS_PER_RUNNER);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        List<String> urls = new ArrayList<>();
                        cluster.names().forEach(name -> urls.add(cluster.member(name).url()));
                        return new LoadRunner(client, urls).run(options, sent -> {});
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IllegalStateException(e);
                    }
                },
                task -> Thread.ofPlatform().start(task));
    }

    private static long loads(String policy, Cluster cluster) {
        return state(policy, cluster, "placement_loads");
    }

    private static long state(String policy, Cluster cluster, String name) {
        String metrics = HttpCalls.get(cluster.member("a").url() + "/metrics").body();
        String line = "stackhall_state\\{group=\"plateau " + policy + "\",name=\"" + name;
        Matcher matcher = Pattern.compile(line + "\"} (\\S+)").matcher(metrics);
        return matcher.find() ? (long) Double.parseDouble(matcher.group(1)) : -1;
    }
}
