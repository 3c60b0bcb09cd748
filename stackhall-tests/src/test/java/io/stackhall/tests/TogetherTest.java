package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.StatusRuntimeException;
import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.AuditRecord;
import io.stackhall.rpc.generated.operators.AuditRequest;
import io.stackhall.rpc.generated.operators.DrainRequest;
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
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several failures at the same moment, again and again, under traffic and changes. */
class TogetherTest {

    private static final int ROUNDS = 6;
    private static final long FAULT_MILLIS = 2000;
    private static final long CALM_MILLIS = 1500;
    private static final List<String> ZONES = List.of("plateau", "yoff", "rufisque");

    @TempDir Path folder;

    private final Random random = new Random(20261202);
    private final Map<String, Integer> statusByKey = new ConcurrentHashMap<>();
    private final Map<String, Long> acceptedRevisions = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean ended;

    @Test
    void nothingRunsTwiceIsLostOrRevertsWhateverFailsTogether() {
        try (Cluster cluster = threeZones()) {
            List<Engine> engines =
                    ZONES.stream().map(zone -> cluster.engine("engine-" + zone, zone)).toList();
            cluster.apply("a", Deployments.small());
            engines.forEach(engine -> Eventually.holds("resident", () -> engine.holds("picker")));
            CompletableFuture<Void> traffic = CompletableFuture.runAsync(() -> callers(cluster));
            CompletableFuture<Void> changes = CompletableFuture.runAsync(() -> operator(cluster));
            for (int round = 0; round < ROUNDS; round++) {
                failTogether(cluster, engines);
            }
            ended = true;
            traffic.join();
            changes.join();
            cluster.names().forEach(name -> assertServes(cluster, name));
            assertRunsAreTrue(engines);
            assertChangesAreKept(cluster);
            engines.forEach(engine -> assertThat(engine.overcommits()).isZero());
            assertThat(served.get()).as("served meanwhile").isPositive();
            assertThat(acceptedRevisions).as("accepted meanwhile").isNotEmpty();
        }
    }

    private Cluster threeZones() {
        return new Cluster(folder)
                .host("a", "plateau")
                .host("b", "plateau")
                .host("c", "yoff")
                .host("d", "yoff")
                .host("e", "rufisque")
                .host("f", "rufisque")
                .control("a", "c", "e")
                .start();
    }

    /** One host is killed, another frozen, and a zone cut off or an engine's answers broken. */
    private void failTogether(Cluster cluster, List<Engine> engines) {
        List<String> names = cluster.names();
        int first = random.nextInt(names.size());
        String killed = names.get(first);
        String frozen = names.get((first + 1 + random.nextInt(names.size() - 1)) % names.size());
        int zone = random.nextInt(ZONES.size());
        List<String> cut = names.subList(2 * zone, 2 * zone + 2);
        boolean cutsZone = random.nextBoolean();
        cluster.member(killed).process().kill();
        cluster.member(frozen).process().freeze();
        if (cutsZone) {
            cluster.cutOff(cut, true);
        } else {
            engines.get(zone).proxy().breakAfterAnswerBytes(1 + random.nextInt(300));
        }
        Eventually.pause(FAULT_MILLIS);
        cluster.cutOff(cut, false);
        engines.get(zone).proxy().breakAfterAnswerBytes(0);
        engines.get(zone).proxy().breakConnections();
        cluster.member(frozen).process().thaw();
        cluster.startHost(killed);
        Eventually.pause(CALM_MILLIS);
    }

    /** Sends requests that must not run twice, each once more through another host if it fails. */
    private void callers(Cluster cluster) {
        Random choice = new Random(7);
        for (int at = 0; !ended; at++) {
            String key = "key-" + at;
            send(cluster, choice, key);
            if (statusByKey.getOrDefault(key, 0) != 200) {
                send(cluster, choice, key);
            }
        }
    }

    private void send(Cluster cluster, Random choice, String key) {
        List<String> names = cluster.names();
        String host = names.get(choice.nextInt(names.size()));
        try {
            Reply reply =
                    HttpCalls.post(
                            cluster.member(host).url() + "/v1/chat/completions",
                            HttpCalls.body("picker", key, false, 1),
                            "Idempotency-Key",
                            key,
                            "Stackhall-Deadline-Ms",
                            "1500");
            statusByKey.put(key, reply.status());
            if (reply.status() == 200) {
                served.incrementAndGet();
            }
        } catch (RuntimeException e) {
            statusByKey.put(key, 0);
        }
    }

    /** Makes changes, each sent again under its id until it has an answer, or twice at most. */
    private void operator(Cluster cluster) {
        for (int at = 0; !ended; at++) {
            String id = "change-" + at;
            if (!change(cluster, id, at)) {
                change(cluster, id, at);
            }
            Eventually.pause(100);
        }
    }

    private boolean change(Cluster cluster, String id, int at) {
        DrainRequest request =
                DrainRequest.newBuilder()
                        .setUpstream("elsewhere-" + at % 5)
                        .setUndo(at / 5 % 2 == 1)
                        .setChangeId(id)
                        .setOperator("test")
                        .build();
        try {
            String host = cluster.names().get(at % cluster.names().size());
            ApplyReply reply = cluster.operators(host).drain(request);
            if (reply.getOutcome() == ApplyReply.Outcome.ACCEPTED) {
                acceptedRevisions.put(id, reply.getRevision());
            }
            return true;
        } catch (StatusRuntimeException e) {
            return false;
        }
    }

    private static void assertServes(Cluster cluster, String name) {
        Eventually.holds(
                name + " serves",
                () ->
                        HttpCalls.complete(
                                                cluster.member(name).url(),
                                                "resumen",
                                                "after",
                                                "Stackhall-Deadline-Ms",
                                                "2000")
                                        .status()
                                == 200);
    }

    private void assertRunsAreTrue(List<Engine> engines) {
        Map<String, Integer> runs = new HashMap<>();
        for (Engine engine : engines) {
            engine.runsByUser().forEach((user, count) -> runs.merge(user, count, Integer::sum));
        }
        statusByKey.forEach(
                (key, status) -> {
                    assertThat(runs.getOrDefault(key, 0)).as(key).isLessThanOrEqualTo(1);
                    if (status == 200) {
                        assertThat(runs).as("answered").containsKey(key);
                    }
                });
    }

    private void assertChangesAreKept(Cluster cluster) {
        long highest =
                acceptedRevisions.values().stream().mapToLong(Long::longValue).max().orElse(0);
        cluster.awaitRevision(highest);
        List<AuditRecord> trail = new ArrayList<>();
        Eventually.holds(
                "the audit trail",
                () ->
                        trail.addAll(
                                cluster.operators("a")
                                        .audit(AuditRequest.getDefaultInstance())
                                        .getRecordsList()));
        Map<String, Long> audited = new TreeMap<>();
        for (AuditRecord item : trail) {
            if (item.getOutcome().equals("ACCEPTED")) {
                assertThat(audited.put(item.getChangeId(), item.getRevision()))
                        .as(item.getChangeId() + " stands twice")
                        .isNull();
            }
        }
        assertThat(audited).containsAllEntriesOf(acceptedRevisions);
    }
}
