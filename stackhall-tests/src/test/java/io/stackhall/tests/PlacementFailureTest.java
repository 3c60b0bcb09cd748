package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Accelerator memory is never overcommitted, and every model stays reachable. */
class PlacementFailureTest {

    private static final int MODELS = 6;

    /** Copies may be late by less than the lifetime of an order, which is 3 s here. */
    private static final long COPY_AGE_MILLIS = 2500;

    private static final String POLICY = "least-recently-used";

    @TempDir Path folder;

    @Test
    void ordersLostLateAndDoubledOvercommitNothingWhereFencingIsIgnored() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine = cluster.engine("engine-1", "plateau", "--ignore-fencing");
            cluster.apply("a", crowded());
            awaitReachable(cluster, 0);
            engine.proxy().record(true);
            Random random = new Random(11);
            for (int round = 0; round < 12; round++) {
                switch (round % 4) {
                    case 0 -> engine.proxy().delay(400);
                    case 1 -> engine.proxy().silence(false, true);
                    case 2 -> engine.proxy().silence(true, true);
                    default -> engine.proxy().breakConnections();
                }
                ask(cluster, random.nextInt(MODELS));
                Eventually.pause(500);
                engine.proxy().silence(false, false);
                engine.proxy().delay(0);
                engine.proxy().replayRecorded(COPY_AGE_MILLIS);
                ask(cluster, random.nextInt(MODELS));
                Eventually.pause(300);
                assertThat(engine.overcommits()).isZero();
            }
            engine.proxy().record(false);
            for (int model = 0; model < MODELS; model++) {
                awaitReachable(cluster, model);
            }
            assertThat(engine.overcommits()).isZero();
            assertThat(engine.state().path("memory").path("loads").asInt()).isGreaterThan(MODELS);
        }
    }

    @Test
    void leadersKilledAndFrozenBetweenIntentOrderAndAnswerOvercommitNothing() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine =
                    cluster.engine(
                            "engine-1", "plateau", "--ignore-fencing", "--load-millis", "600");
            cluster.apply("a", crowded());
            awaitReachable(cluster, 0);
            Random random = new Random(5);
            for (int round = 0; round < 4; round++) {
                ask(cluster, random.nextInt(MODELS));
                ask(cluster, random.nextInt(MODELS));
                Eventually.pause(150);
                String leader = zoneLeader(cluster);
                if (round % 2 == 0) {
                    cluster.member(leader).process().kill();
                    Eventually.holds("another leads", () -> !zoneLeader(cluster).isEmpty());
                    cluster.startHost(leader);
                } else {
                    cluster.member(leader).process().freeze();
                    Eventually.pause(3500);
                    cluster.member(leader).process().thaw();
                }
                assertThat(engine.overcommits()).isZero();
            }
            for (int model = 0; model < MODELS; model++) {
                awaitReachable(cluster, model);
            }
            assertThat(engine.overcommits()).isZero();
        }
    }

    @Test
    void upstreamRestartedEmptyWithItsOldIdentityIsFilledAgain() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine = cluster.engine("engine-1", "plateau");
            cluster.apply("a", Deployments.small());
            Eventually.holds("resident", () -> engine.holds("resumen"));
            engine.process().kill();
            engine.start();
            Eventually.holds("resident again", () -> engine.holds("resumen"));
            Eventually.holds("and its adapter", () -> engine.holds("resumen-dakar"));
            assertThat(engine.overcommits()).isZero();
        }
    }

    @Test
    void versionChangeOfAModelThatFillsHalfTheMemoryKeepsTheOldOneUntilTheNewServes() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine = cluster.engine("engine-1", "plateau", "--load-millis", "800");
            cluster.apply("a", half("1"));
            Eventually.holds("the first version", () -> engine.holds("half"));
            awaitServed(cluster, "half");
            cluster.apply("a", half("2"));
            int failed = 0;
            while (!resident(engine).equals(List.of("half@2"))) {
                failed += served(cluster, "half") ? 0 : 1;
            }
            assertThat(failed).isZero();
            assertThat(engine.overcommits()).isZero();
        }
    }

    @Test
    void wholeZoneThatLostItsMemoryComesBackFromWhatUpstreamsReport() {
        Cluster diskless =
                new Cluster(folder)
                        .host("k", "yoff")
                        .diskless("a", "plateau")
                        .diskless("b", "plateau")
                        .diskless("c", "plateau")
                        .control("k");
        try (Cluster cluster = diskless.start()) {
            Engine engine = cluster.engine("engine-1", "plateau");
            cluster.apply("k", crowded());
            for (int model = 0; model < MODELS; model++) {
                awaitReachable(cluster, model);
            }
            List<String> zone = List.of("a", "b", "c");
            zone.forEach(name -> cluster.member(name).process().kill());
            zone.forEach(cluster::startHost);
            for (int model = 0; model < MODELS; model++) {
                awaitReachable(cluster, model);
            }
            assertThat(engine.overcommits()).isZero();
            assertThat(engine.state().path("memory").path("refusedOrders").asInt()).isZero();
        }
    }

    /** Six models of which the engine holds two at a time. */
    private static Deployment crowded() {
        Deployment.Builder deployment = Deployments.with(POLICY);
        for (int at = 0; at < MODELS; at++) {
            deployment.addModels(Deployments.model("m" + at, "1", 6000 + 100 * at));
        }
        return deployment.build();
    }

    private static Deployment half(String version) {
        return Deployments.with("expected-gain")
                .addModels(Deployments.model("half", version, 7400))
                .build();
    }

    private static void ask(Cluster cluster, int model) {
        for (String name : cluster.names()) {
            if (cluster.member(name).process().alive()) {
                HttpCalls.postAsync(
                        cluster.member(name).url() + "/v1/chat/completions",
                        HttpCalls.body("m" + model, "", false, 2),
                        "Stackhall-Deadline-Ms",
                        "8000");
            }
        }
    }

    private static void awaitReachable(Cluster cluster, int model) {
        awaitServed(cluster, "m" + model);
    }

    private static void awaitServed(Cluster cluster, String model) {
        Eventually.holds(model + " is served", () -> served(cluster, model));
    }

    private static boolean served(Cluster cluster, String model) {
        String url = cluster.member(cluster.names().getFirst()).url();
        return HttpCalls.complete(url, model, "").status() == 200;
    }

    private static List<String> resident(Engine engine) {
        List<String> names = new ArrayList<>();
        engine.state().path("memory").path("resident").forEach(name -> names.add(name.asText()));
        return names;
    }

    private static String zoneLeader(Cluster cluster) {
        for (String name : cluster.names()) {
            boolean leads =
                    cluster.member(name).process().alive()
                            && cluster.status(name).getReplicasList().stream()
                                    .anyMatch(
                                            replica ->
                                                    replica.getGroup().equals("zone/plateau")
                                                            && replica.getRole().equals("LEADER"));
            if (leads) {
                return name;
            }
        }
        return "";
    }
}
