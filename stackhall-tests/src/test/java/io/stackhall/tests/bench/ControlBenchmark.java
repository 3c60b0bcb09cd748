package io.stackhall.tests.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.DrainRequest;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Eventually;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Measures the control group before nine entry hosts in three zones. */
class ControlBenchmark {

    private static final List<String> ZONES = List.of("plateau", "yoff", "rufisque");
    private static final int IN_FORCE_CHANGES = 150;
    private static final int CHANGES = 10_000;
    private static final int OPERATORS = 20;

    private final AtomicInteger next = new AtomicInteger();

    @TempDir Path folder;

    @Test
    void controlGroup() {
        Cluster cluster = new Cluster(folder);
        for (String zone : ZONES) {
            cluster.host(zone + "-1", zone).diskless(zone + "-2", zone).diskless(zone + "-3", zone);
        }
        cluster.control("plateau-1", "yoff-1", "rufisque-1");
        try (cluster) {
            cluster.start();
            cluster.apply("plateau-1", Deployments.small());
            timeToForce(cluster);
            throughput(cluster);
            memory(cluster);
            leaderLoss(cluster);
            restart(cluster);
        }
    }

    private void timeToForce(Cluster cluster) {
        Histogram accepted = new Histogram(60_000_000, 3);
        Histogram inForce = new Histogram(60_000_000, 3);
        for (int at = 0; at < IN_FORCE_CHANGES; at++) {
            long start = System.nanoTime();
            long revision = change(cluster, "yoff-1").getRevision();
            accepted.recordValue(micros(start));
            List<CompletableFuture<Void>> hosts = new ArrayList<>();
            for (String name : cluster.names()) {
                hosts.add(
                        CompletableFuture.runAsync(
                                () -> {
                                    while (cluster.status(name).getRevision() < revision) {
                                        Thread.onSpinWait();
                                    }
                                }));
            }
            hosts.forEach(CompletableFuture::join);
            inForce.recordValue(micros(start));
        }
        print("change accepted, as the operator sees it", accepted);
        print("change in force on nine entry hosts, from the operator's call", inForce);
    }

    private void throughput(Cluster cluster) {
        long start = System.nanoTime();
        try (ExecutorService operators = Executors.newFixedThreadPool(OPERATORS)) {
            for (int at = 0; at < CHANGES; at++) {
                operators.execute(() -> change(cluster, "yoff-1"));
            }
        }
        double seconds = micros(start) / 1e6;
        System.out.printf(
                "BENCH %d changes by %d operators at once: %.0f a second%n",
                CHANGES, OPERATORS, CHANGES / seconds);
    }

    private static void memory(Cluster cluster) {
        for (String name : List.of("plateau-1", "plateau-2")) {
            System.out.printf(
                    "BENCH resident memory of %s: %d MiB%n",
                    name, cluster.member(name).process().residentKib() / 1024);
        }
    }

    private void leaderLoss(Cluster cluster) {
        Histogram gap = new Histogram(60_000_000, 3);
        for (int round = 0; round < 5; round++) {
            String leader = leader(cluster);
            String other = leader.equals("yoff-1") ? "plateau-1" : "yoff-1";
            cluster.member(leader).process().kill();
            long start = System.nanoTime();
            Eventually.holds("a change", () -> change(cluster, other).getRevision() > 0);
            gap.recordValue(micros(start));
            cluster.startHost(leader);
            Eventually.holds("back", () -> cluster.status(leader).getRevision() > 0);
            Eventually.pause(2000);
        }
        print("leader killed to the next accepted change", gap);
    }

    private static void restart(Cluster cluster) {
        cluster.member("yoff-1").process().kill();
        long start = System.nanoTime();
        cluster.startHost("yoff-1");
        Eventually.holds("back", () -> cluster.status("yoff-1").getRevision() > 1);
        System.out.printf(
                "BENCH restart of a control host after %d changes: %d ms to its first answer%n",
                CHANGES, micros(start) / 1000);
    }

    private ApplyReply change(Cluster cluster, String host) {
        int number = next.incrementAndGet();
        ApplyReply reply =
                cluster.operators(host)
                        .drain(
                                DrainRequest.newBuilder()
                                        .setUpstream("engine-" + number % 500)
                                        .setUndo(number / 500 % 2 == 1)
                                        .setChangeId("bench-" + number)
                                        .setOperator("bench")
                                        .build());
        assertThat(reply.getOutcome()).isEqualTo(ApplyReply.Outcome.ACCEPTED);
        return reply;
    }

    private static String leader(Cluster cluster) {
        List<String> found = new ArrayList<>();
        Eventually.holds(
                "a leader",
                () -> {
                    for (String zone : ZONES) {
                        boolean leads =
                                cluster.status(zone + "-1").getReplicasList().stream()
                                        .anyMatch(
                                                replica ->
                                                        replica.getGroup().equals("control")
                                                                && replica.getRole()
                                                                        .equals("LEADER"));
                        if (leads) {
                            return found.add(zone + "-1");
                        }
                    }
                    return false;
                });
        return found.getFirst();
    }

    private static long micros(long start) {
        return (System.nanoTime() - start) / 1000;
    }

    private static void print(String what, Histogram micros) {
        System.out.printf(
                "BENCH %s: median %.1f ms, 99th %.1f ms, of %d%n",
                what,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getTotalCount());
    }
}
