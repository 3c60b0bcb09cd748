package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.StatusRuntimeException;
import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.ApplyRequest;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Disks without room: changes go to a host that has some, or are refused; serving goes on. */
class FullDiskTest {

    private static final String LEAST_FREE = "leastFreeMiB";
    private static final int MORE_THAN_ANY_DISK = 1_000_000_000;

    @TempDir Path folder;

    @Test
    void changesAreRefusedWhileEveryDiskIsFullAndTakenOnceThereIsRoom() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            Engine engine = cluster.engine("engine-1", "plateau");
            long revision = cluster.apply("a", Deployments.small());
            Eventually.holds("resident", () -> engine.holds("resumen"));
            restartAll(cluster, MORE_THAN_ANY_DISK);
            Eventually.holds(
                    "refused",
                    () ->
                            refusal(cluster, revision, "while-full")
                                    .contains("the disk is nearly full"));
            String url = cluster.member("a").url();
            Eventually.holds(
                    "still served", () -> HttpCalls.complete(url, "resumen", "u").status() == 200);
            assertThat(HttpCalls.get(url + "/readyz").status()).isEqualTo(200);
            assertThat(cluster.status("a").getRevision()).isEqualTo(revision);
            restartAll(cluster, 0);
            Eventually.holds("taken", () -> refusal(cluster, revision, "with-room").isEmpty());
            cluster.awaitRevision(revision + 1);
        }
    }

    @Test
    void changeIsTakenByAnotherHostThoughTheLeadersDiskIsFull() {
        try (Cluster cluster = Cluster.threeHosts(folder)) {
            long revision = cluster.apply("a", Deployments.small());
            for (String full : List.of("a", "b")) {
                restart(cluster, full, MORE_THAN_ANY_DISK);
                cluster.awaitRevision(revision);
            }
            restart(cluster, "c", 0);
            Eventually.holds("taken", () -> refusal(cluster, revision, "another").isEmpty());
            cluster.awaitRevision(revision + 1);
        }
    }

    private static void restartAll(Cluster cluster, int leastFreeMib) {
        cluster.names().forEach(name -> restart(cluster, name, leastFreeMib));
    }

    private static void restart(Cluster cluster, String name, int leastFreeMib) {
        cluster.member(name).process().kill();
        cluster.limit(name, LEAST_FREE, leastFreeMib);
        cluster.startHost(name);
    }

    /** Returns an empty text if a change is accepted, or else why not. */
    private static String refusal(Cluster cluster, long revision, String changeId) {
        ApplyRequest request =
                ApplyRequest.newBuilder()
                        .setDeployment(Deployments.small())
                        .setExpectedRevision(revision)
                        .setChangeId(changeId)
                        .setOperator("test")
                        .build();
        try {
            ApplyReply reply = cluster.operators("a").apply(request);
            boolean accepted = reply.getOutcome() == ApplyReply.Outcome.ACCEPTED;
            return accepted ? "" : reply.toString();
        } catch (StatusRuntimeException e) {
            return e.toString();
        }
    }
}
