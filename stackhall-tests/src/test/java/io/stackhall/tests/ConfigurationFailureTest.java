package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.ApplyRequest;
import io.stackhall.rpc.generated.operators.AuditRecord;
import io.stackhall.rpc.generated.operators.AuditRequest;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.ReplicaStatus;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Eventually;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration under races, resends, kills, freezes, cuts and lost disks. */
class ConfigurationFailureTest {

    private static final int RACES = 100;

    @TempDir Path folder;

    @Test
    void ofTwoOperatorsWithEqualRevisionsExactlyOneIsAccepted() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            for (int round = 0; round < RACES; round++) {
                long revision = cluster.status("a").getRevision();
                int at = round;
                CompletableFuture<ApplyReply> left =
                        CompletableFuture.supplyAsync(
                                () -> change(cluster, "a", revision, "left-" + at));
                CompletableFuture<ApplyReply> right =
                        CompletableFuture.supplyAsync(
                                () -> change(cluster, "b", revision, "right-" + at));
                List<ApplyReply> replies = List.of(left.join(), right.join());
                assertThat(replies)
                        .extracting(ApplyReply::getOutcome)
                        .containsExactlyInAnyOrder(
                                ApplyReply.Outcome.ACCEPTED, ApplyReply.Outcome.REVISION_MISMATCH);
                cluster.awaitRevision(revision + 1);
            }
        }
    }

    @Test
    void resentChangeGetsItsFirstAnswerAlsoAfterRestartsAndAnotherLeader() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            ApplyReply first = change(cluster, "a", 1, "once");
            change(cluster, "b", 2, "another");
            assertThat(change(cluster, "c", 1, "once")).isEqualTo(first);
            cluster.member(controlLeader(cluster)).process().kill();
            Eventually.holds("another leader", () -> !controlLeader(cluster).isEmpty());
            String survivor = running(cluster).getFirst();
            assertThat(change(cluster, survivor, 1, "once")).isEqualTo(first);
            for (String name : cluster.names()) {
                if (cluster.member(name).process().alive()) {
                    cluster.member(name).process().kill();
                }
                cluster.startHost(name);
            }
            cluster.awaitRevision(3);
            assertThat(change(cluster, "a", 1, "once")).isEqualTo(first);
        }
    }

    @Test
    void fiveHundredChangesSurviveTwoRestartsOfEveryReplica() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            for (long revision = 1; revision <= 500; revision++) {
                assertThat(change(cluster, "a", revision, "c" + revision).getOutcome())
                        .isEqualTo(ApplyReply.Outcome.ACCEPTED);
            }
            List<AuditRecord> before = audit(cluster, "a");
            for (int restart = 0; restart < 2; restart++) {
                cluster.names().forEach(name -> cluster.member(name).process().kill());
                cluster.names().forEach(cluster::startHost);
                cluster.awaitRevision(501);
                for (String name : cluster.names()) {
                    Eventually.holds(
                            "the whole audit trail on " + name,
                            () -> audit(cluster, name).equals(before));
                    assertThat(cluster.status(name).getDeployment())
                            .isEqualTo(cluster.status("a").getDeployment());
                    assertThat(cluster.status(name).getRevision()).isEqualTo(501);
                }
            }
        }
    }

    @Test
    void nothingAcceptedIsLostThoughLeadersAreKilledDuringWrites() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            Set<String> accepted = new HashSet<>();
            for (int round = 0; round < 4; round++) {
                String leader = controlLeader(cluster);
                CompletableFuture<Void> kill =
                        CompletableFuture.runAsync(
                                () -> {
                                    Eventually.pause(120);
                                    cluster.member(leader).process().kill();
                                });
                String host =
                        cluster.names().stream()
                                .filter(name -> !name.equals(leader))
                                .findFirst()
                                .orElseThrow();
                for (int at = 0; at < 15; at++) {
                    String id = "kill-" + round + "-" + at;
                    long revision = cluster.status(host).getRevision();
                    if (persistently(cluster, host, revision, id).getOutcome()
                            == ApplyReply.Outcome.ACCEPTED) {
                        accepted.add(id);
                    }
                }
                kill.join();
                cluster.startHost(leader);
                Eventually.holds("a leader", () -> !controlLeader(cluster).isEmpty());
            }
            assertThat(accepted).isNotEmpty();
            long revision = cluster.status(controlLeader(cluster)).getRevision();
            cluster.awaitRevision(revision);
            for (String name : cluster.names()) {
                Eventually.holds(
                        "every accepted change on " + name,
                        () -> acceptedIds(cluster, name).containsAll(accepted));
            }
        }
    }

    @Test
    void frozenLeaderDoesNotRevertWhatItsSuccessorAccepted() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            String frozen = controlLeader(cluster);
            cluster.member(frozen).process().freeze();
            String other = otherThan(cluster, frozen);
            ApplyReply reply = persistently(cluster, other, 1, "while-frozen");
            assertThat(reply.getOutcome()).isEqualTo(ApplyReply.Outcome.ACCEPTED);
            cluster.member(frozen).process().thaw();
            assertThat(persistently(cluster, frozen, 1, "late").getOutcome())
                    .isEqualTo(ApplyReply.Outcome.REVISION_MISMATCH);
            cluster.awaitRevision(2);
        }
    }

    @Test
    void leaderWhoseWordsAreLostWhileItStillHearsIsReplaced() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            String muted = controlLeader(cluster);
            cluster.mute(muted, true);
            String other = otherThan(cluster, muted);
            assertThat(persistently(cluster, other, 1, "while-muted").getOutcome())
                    .isEqualTo(ApplyReply.Outcome.ACCEPTED);
            cluster.mute(muted, false);
            cluster.awaitRevision(2);
            assertThat(persistently(cluster, muted, 2, "after").getOutcome())
                    .isEqualTo(ApplyReply.Outcome.ACCEPTED);
        }
    }

    @Test
    void wipedDiskIsReplacedAndThenASecondHostMayBeLost() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            String leader = controlLeader(cluster);
            String wiped = otherThan(cluster, leader);
            String before = replica(cluster, wiped).getReplica();
            cluster.member(wiped).process().kill();
            cluster.wipe(wiped);
            cluster.startHost(wiped);
            Eventually.holds(
                    "the new replica votes",
                    () -> {
                        ReplicaStatus status = replica(cluster, leader);
                        String now = replica(cluster, wiped).getReplica();
                        return !now.equals(before)
                                && status.getVotersList().contains(now)
                                && !status.getVotersList().contains(before);
                    });
            String second =
                    cluster.names().stream()
                            .filter(name -> !name.equals(wiped) && !name.equals(leader))
                            .findFirst()
                            .orElseThrow();
            cluster.member(second).process().kill();
            assertThat(persistently(cluster, wiped, 1, "after").getOutcome())
                    .isEqualTo(ApplyReply.Outcome.ACCEPTED);
            assertThat(acceptedIds(cluster, wiped)).contains("after");
        }
    }

    @Test
    void zoneCutOffForFiftyChangesKeepsServingAndConvergesWithoutReverting() {
        try (Cluster cluster = threeZones()) {
            cluster.apply("a", Deployments.small());
            String leader = controlLeader(cluster);
            String cut = otherThan(cluster, leader);
            cluster.cutOff(List.of(cut), true);
            for (long revision = 1; revision <= 50; revision++) {
                assertThat(persistently(cluster, leader, revision, "cut-" + revision).getOutcome())
                        .isEqualTo(ApplyReply.Outcome.ACCEPTED);
            }
            assertThat(cluster.status(cut).getRevision()).isEqualTo(1);
            cluster.cutOff(List.of(cut), false);
            cluster.awaitRevision(51);
            assertThat(cluster.status(leader).getRevision()).isEqualTo(51);
        }
    }

    private Cluster threeZones() {
        return new Cluster(folder)
                .host("a", "plateau")
                .host("b", "yoff")
                .host("c", "rufisque")
                .control("a", "b", "c")
                .start();
    }

    private static ApplyReply change(Cluster cluster, String host, long revision, String id) {
        Deployment deployment =
                Deployments.small().toBuilder()
                        .addModels(Deployments.model("m-" + id, "1", 100))
                        .build();
        return cluster.operators(host)
                .apply(
                        ApplyRequest.newBuilder()
                                .setDeployment(deployment)
                                .setExpectedRevision(revision)
                                .setChangeId(id)
                                .setOperator("test")
                                .build());
    }

    /** Resends a change until it is answered, as an operator does whose answer is lost. */
    private static ApplyReply persistently(Cluster cluster, String host, long revision, String id) {
        List<ApplyReply> reply = new ArrayList<>();
        Eventually.holds(
                "an answer to " + id, () -> reply.add(change(cluster, host, revision, id)));
        return reply.getFirst();
    }

    private static List<AuditRecord> audit(Cluster cluster, String host) {
        return cluster.operators(host).audit(AuditRequest.getDefaultInstance()).getRecordsList();
    }

    private static Set<String> acceptedIds(Cluster cluster, String host) {
        Set<String> ids = new HashSet<>();
        for (AuditRecord item : audit(cluster, host)) {
            if (item.getOutcome().equals("ACCEPTED")) {
                ids.add(item.getChangeId());
            }
        }
        return ids;
    }

    private static ReplicaStatus replica(Cluster cluster, String host) {
        return cluster.status(host).getReplicasList().stream()
                .filter(status -> status.getGroup().equals("control"))
                .findFirst()
                .orElseThrow();
    }

    private static String controlLeader(Cluster cluster) {
        for (String name : running(cluster)) {
            if (replica(cluster, name).getRole().equals("LEADER")) {
                return name;
            }
        }
        return "";
    }

    private static String otherThan(Cluster cluster, String host) {
        return cluster.names().stream()
                .filter(name -> !name.equals(host))
                .findFirst()
                .orElseThrow();
    }

    private static List<String> running(Cluster cluster) {
        return cluster.names().stream()
                .filter(name -> cluster.member(name).process().alive())
                .toList();
    }
}
