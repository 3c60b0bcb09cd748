package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.operators.DrainRequest;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What leaves gets no new work, and what runs is not cut. */
class DrainTest {

    private static final long DRAIN_BOUND_MILLIS = 2000;

    @TempDir Path folder;

    @Test
    void drainedUpstreamGetsNothingNewFromAnyEntryHost() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            List<Engine> engines = engines(cluster);
            Engine leaving = engines.getFirst();
            cluster.operators("a")
                    .drain(
                            DrainRequest.newBuilder()
                                    .setUpstream("engine-1")
                                    .setChangeId("d")
                                    .setOperator("test")
                                    .build());
            assertNothingNewAfterBound(cluster, leaving);
        }
    }

    @Test
    void upstreamThatAnnouncesItsLeavingGetsNothingNewThoughOneHostDiesWithTheNotice() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            List<Engine> engines = engines(cluster);
            Engine leaving = engines.getFirst();
            cluster.member("c").process().kill();
            CompletableStream.start(cluster, "a");
            leaving.process().requestStop();
            assertNothingNewAfterBound(cluster, leaving);
        }
    }

    @Test
    void rollingRestartUnderLoadFailsNoRequest() throws InterruptedException {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            engines(cluster);
            AtomicBoolean stop = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            Queue<String> failures = new ConcurrentLinkedQueue<>();
            List<Thread> load =
                    List.of(
                            startLoad(cluster, 0, stop, served, failures),
                            startLoad(cluster, 1, stop, served, failures),
                            startLoad(cluster, 2, stop, served, failures));
            for (String name : cluster.names()) {
                assertThat(cluster.member(name).process().terminate()).isZero();
                cluster.startHost(name);
                Eventually.holds("ready again", () -> ready(cluster, name));
            }
            stop.set(true);
            for (Thread thread : load) {
                thread.join();
            }
            assertThat(failures).isEmpty();
            assertThat(served.get()).isGreaterThan(50);
        }
    }

    private static List<Engine> engines(Cluster cluster) {
        List<Engine> engines =
                List.of(
                        cluster.engine("engine-1", "plateau"),
                        cluster.engine("engine-2", "plateau"));
        var deployment = Deployments.small().toBuilder();
        deployment.getModelsBuilder(0).setFloor(2);
        cluster.apply("a", deployment.build());
        for (Engine engine : engines) {
            Eventually.holds("the model is resident", () -> engine.holds("resumen"));
        }
        return engines;
    }

    /** Asks every host for a while, and counts what the leaving upstream ran after its bound. */
    private static void assertNothingNewAfterBound(Cluster cluster, Engine leaving) {
        Eventually.pause(DRAIN_BOUND_MILLIS);
        OptionalInt before = leaving.runs();
        int served = 0;
        for (int at = 0; at < 60; at++) {
            for (String name : cluster.names()) {
                if (cluster.member(name).process().alive()) {
                    String url = cluster.member(name).url();
                    served += HttpCalls.complete(url, "resumen", "u").status() == 200 ? 1 : 0;
                }
            }
        }
        assertThat(served).isGreaterThan(100);
        OptionalInt after = leaving.runs();
        if (after.isPresent()) {
            assertThat(after).isEqualTo(before);
        } else {
            assertThat(leaving.lastBegunAfterLeave().toMillis()).isLessThan(DRAIN_BOUND_MILLIS);
        }
    }

    /** Sends to a ready host, as the platform's balancer does. */
    private static Thread startLoad(
            Cluster cluster,
            int offset,
            AtomicBoolean stop,
            AtomicInteger served,
            Queue<String> failures) {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            int turn = offset;
                            while (!stop.get()) {
                                String name = cluster.names().get(turn++ % 3);
                                if (!ready(cluster, name)) {
                                    continue;
                                }
                                try {
                                    Reply reply =
                                            HttpCalls.complete(
                                                    cluster.member(name).url(), "resumen", "u");
                                    if (reply.status() == 200) {
                                        served.incrementAndGet();
                                    } else {
                                        failures.add(name + " " + reply);
                                    }
                                } catch (UncheckedIOException e) {
                                    failures.add(name + " " + e);
                                }
                            }
                        });
    }

    private static boolean ready(Cluster cluster, String name) {
        try {
            return HttpCalls.get(cluster.member(name).url() + "/readyz").status() == 200;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    /** A long stream that keeps an upstream from ending while it leaves. */
    private static final class CompletableStream {
        static void start(Cluster cluster, String host) {
            for (int at = 0; at < 4; at++) {
                HttpCalls.postAsync(
                        cluster.member(host).url() + "/v1/chat/completions",
                        HttpCalls.body("resumen", "u", true, 1500));
            }
            Eventually.pause(200);
        }
    }
}
