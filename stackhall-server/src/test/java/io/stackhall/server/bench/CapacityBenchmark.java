package io.stackhall.server.bench;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.stackhall.core.admission.AdmissionSettings;
import io.stackhall.core.admission.Arrival;
import io.stackhall.core.admission.TrafficEvent;
import io.stackhall.core.admission.TrafficScheduler;
import io.stackhall.core.config.Change;
import io.stackhall.core.config.ConfigRegister;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.UpstreamTable;
import io.stackhall.core.outcome.ClaimTable;
import io.stackhall.core.placement.OrderLedger;
import io.stackhall.core.placement.PlacementCoordinator;
import io.stackhall.core.placement.PlacementEvent;
import io.stackhall.core.placement.PlacementSettings;
import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.routing.AttemptResult;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.Router;
import io.stackhall.core.routing.RoutingRequest;
import io.stackhall.core.routing.RoutingSettings;
import io.stackhall.core.routing.Target;
import io.stackhall.rpc.generated.peer.ConfigUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.NeighbourReport;
import io.stackhall.rpc.generated.peer.UpstreamReport;
import io.stackhall.server.group.ControlCommand;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.ZoneCommand;
import io.stackhall.server.group.ZoneState;
import io.stackhall.server.json.Json;
import io.stackhall.server.storage.DiskStorage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Prints each slope of the capacity page at three sizes. */
class CapacityBenchmark {

    private static final int[] DEPLOYMENT_SIZES = {24, 240, 1000};
    private static final int[] UPSTREAM_SIZES = {100, 857, 3000};
    private static final int[] RESIDENT_SIZES = {4, 16, 64};
    private static final int[] CLAIM_SIZES = {1000, 10_000, 100_000};
    private static final long NOW = Duration.ofHours(1).toNanos();

    @TempDir Path folder;

    @Test
    void changes() throws IOException {
        for (int models : DEPLOYMENT_SIZES) {
            Deployment deployment = Samples.deployment(models, 4 * models);
            Change change = Samples.change(0, deployment);
            byte[] command = command(change);
            print("change, whole deployment, bytes in the log record", models, command.length);
            print("drain mark, bytes in the log record", models, command(Samples.drain(1)).length);
            print(
                    "change, whole deployment, bytes on the wire to one host",
                    models,
                    update(Samples.configuration(1, deployment)).getSerializedSize());
            ControlState state = new ControlState();
            state.apply(command);
            print(
                    "drain mark applied, microseconds",
                    models,
                    micros(2000, at -> state.apply(command(Samples.drain(at)))));
            ConfigRegister register = new ConfigRegister();
            print(
                    "whole deployment checked and applied, microseconds",
                    models,
                    micros(300, at -> register.apply(Samples.change(at, deployment))));
            byte[] whole = Json.write(Configuration.class, Samples.configuration(1, deployment));
            print(
                    "whole configuration read by a follower, microseconds",
                    models,
                    micros(300, at -> Json.read(Configuration.class, whole)));
            double bare = heap(40, at -> Samples.deployment(models, 0));
            double withAdapters = heap(40, at -> Samples.deployment(models, 4 * models));
            print("heap bytes per model", models, bare / models);
            print("heap bytes per adapter", models, (withAdapters - bare) / (4.0 * models));
        }
    }

    @Test
    void disk() throws IOException {
        for (int count : new int[] {100, 1000, 4000}) {
            Path path = folder.resolve("disk-" + count);
            try (DiskStorage storage = DiskStorage.open(path, new Random(1), 0)) {
                long start = System.nanoTime();
                for (int at = 1; at <= count; at++) {
                    byte[] command = command(Samples.drain(at));
                    storage.saveEntries(List.of(new Entry(1, at, new Payload.Command(command))));
                    if (at % 10 == 0) {
                        storage.sync();
                    }
                }
                print(
                        "drain mark saved, synced by tens, microseconds",
                        count,
                        (System.nanoTime() - start) / 1e3 / count);
                print(
                        "drain mark, bytes on disk",
                        count,
                        (double) Files.size(path.resolve("log-1")) / count);
            }
        }
    }

    @Test
    void announcements() {
        for (int residents : RESIDENT_SIZES) {
            Announcement sample = Samples.announcement(1, 1, residents);
            byte[] bytes = Json.write(Announcement.class, sample);
            print(
                    "announcement with so many residents, bytes on the wire",
                    residents,
                    report(bytes).getSerializedSize());
            UpstreamTable table = new UpstreamTable(Duration.ofSeconds(5));
            print(
                    "announcement read and taken in, microseconds",
                    residents,
                    micros(
                            3000,
                            at -> {
                                Json.read(Announcement.class, bytes);
                                table.offer(Samples.announcement(at % 800, at, residents), NOW);
                            }));
            print(
                    "heap bytes per upstream",
                    residents,
                    heap(20_000, at -> Samples.announcement(at, 1, residents)));
        }
    }

    @Test
    void neighbours() {
        for (int models : new int[] {134, 620, 1240}) {
            NeighbourReport.Builder report =
                    NeighbourReport.newBuilder()
                            .setHost("entry-host-0001")
                            .setZone("plateau")
                            .setAddress("10.0.0.1:8080")
                            .setProcess(1_764_685_200_000L)
                            .setSequence(100_000)
                            .setSlots(54_848)
                            .setRunning(40_000);
            for (int at = 0; at < models; at++) {
                report.addModels(Samples.model(at).value());
            }
            Frame frame = Frame.newBuilder().setNeighbour(report).build();
            print(
                    "report of a zone to another, with its length, bytes",
                    models,
                    frame.getSerializedSize() + Integer.BYTES);
        }
    }

    @Test
    void routing() {
        for (int upstreams : UPSTREAM_SIZES) {
            Router router = new Router(RoutingSettings.standard(), new Random(1));
            for (int at = 0; at < upstreams; at++) {
                router.announced(Samples.announcement(at, 1, 8), NOW);
            }
            long later = NOW + Duration.ofMinutes(1).toNanos();
            RoutingRequest[] requests = new RoutingRequest[240];
            for (int at = 0; at < requests.length; at++) {
                Target target = new Target.Model(Samples.model(at));
                requests[at] =
                        new RoutingRequest(target, Priority.NORMAL, 0, Reach.ALL_ZONES, List.of());
            }
            print(
                    "routing decision, microseconds",
                    upstreams,
                    micros(
                            300_000,
                            at -> {
                                UpstreamId chosen =
                                        router.choose(requests[at % 240], later).orElseThrow();
                                router.sent(chosen);
                                router.ended(chosen, AttemptResult.SERVED, later);
                            }));
            print(
                    "placement decision of a zone, microseconds",
                    upstreams,
                    placementMicros(upstreams));
        }
    }

    @Test
    void queuedRequests() {
        for (int count : new int[] {1000, 10_000, 50_000}) {
            TrafficScheduler director =
                    new TrafficScheduler(
                            new AdmissionSettings(1_000_000, 1_000_000, 0.1, 3),
                            new Router(RoutingSettings.standard(), new Random(1)));
            long before = usedHeap();
            for (int at = 0; at < count; at++) {
                director.step(new TrafficEvent.Arrived(arrival(at)), NOW);
            }
            print(
                    "heap bytes per queued request, without its body",
                    count,
                    (usedHeap() - before) / (double) count);
            assertThat(director.waiting()).isEqualTo(count);
        }
    }

    @Test
    void claims() {
        for (int count : CLAIM_SIZES) {
            ZoneState state = new ZoneState();
            long before = usedHeap();
            double micros =
                    micros(
                            count / 2,
                            at ->
                                    state.apply(
                                            Json.write(
                                                    ZoneCommand.class,
                                                    new ZoneCommand.ChangeClaims(
                                                            Samples.claim(at)))));
            print("claim encoded and applied, microseconds", count, micros);
            print(
                    "heap bytes per claim without an answer",
                    count,
                    (usedHeap() - before) / (double) state.claims().claims().size());
            print(
                    "claim, bytes in the log record",
                    count,
                    Json.write(
                                    ZoneCommand.class,
                                    new ZoneCommand.ChangeClaims(Samples.claim(count)))
                            .length);
        }
        assertThat(new ClaimTable().claims()).isEmpty();
    }

    private static double placementMicros(int upstreams) {
        PlacementCoordinator coordinator =
                new PlacementCoordinator(
                        new PlacementSettings(
                                Duration.ofSeconds(60),
                                Duration.ofMillis(500),
                                Duration.ofMillis(100),
                                14),
                        NOW);
        Configuration configuration = Samples.configuration(1, Samples.deployment(240, 1000));
        coordinator.step(new PlacementEvent.Configured(configuration), NOW);
        for (int at = 0; at < upstreams; at++) {
            Announcement report = Samples.announcement(at, 1, 8);
            coordinator.step(new PlacementEvent.Reported(report), NOW);
        }
        OrderLedger.State empty = new OrderLedger.State(List.of(), List.of(), 0);
        coordinator.step(new PlacementEvent.Led(empty), NOW);
        long[] now = {NOW};
        return micros(
                5,
                at -> {
                    now[0] += Duration.ofMillis(200).toNanos();
                    coordinator.step(new PlacementEvent.Tick(), now[0]);
                });
    }

    private static Arrival arrival(int at) {
        return new Arrival(
                new RequestId("request-" + at),
                new CustomerId("caller-" + at % 50),
                new Target.Model(Samples.model(at % 240)),
                Priority.NORMAL,
                NOW + Duration.ofMinutes(10).toNanos(),
                0,
                true,
                Reach.ALL_ZONES);
    }

    private static byte[] command(Change change) {
        return Json.write(ControlCommand.class, new ControlCommand.ChangeConfiguration(change));
    }

    private static Frame update(Configuration configuration) {
        byte[] bytes = Json.write(Configuration.class, configuration);
        return Frame.newBuilder()
                .setUpdate(
                        ConfigUpdate.newBuilder()
                                .setRevision(configuration.revision())
                                .setConfiguration(ByteString.copyFrom(bytes)))
                .build();
    }

    private static Frame report(byte[] announcement) {
        return Frame.newBuilder()
                .setUpstream(
                        UpstreamReport.newBuilder()
                                .setAnnouncement(ByteString.copyFrom(announcement)))
                .build();
    }

    /** Returns the mean time of a step, after as many to warm up; no two have the same number. */
    private static double micros(int steps, IntConsumer step) {
        for (int at = 0; at < steps; at++) {
            step.accept(at);
        }
        long start = System.nanoTime();
        for (int at = steps; at < 2 * steps; at++) {
            step.accept(at);
        }
        return (System.nanoTime() - start) / 1e3 / steps;
    }

    /** Returns the mean heap that one of many objects takes. */
    private static double heap(int count, IntFunction<Object> make) {
        List<Object> kept = new ArrayList<>(count);
        assertThat(make.apply(0)).isNotNull();
        long before = usedHeap();
        for (int at = 0; at < count; at++) {
            kept.add(make.apply(at));
        }
        double each = (usedHeap() - before) / (double) count;
        assertThat(kept).hasSize(count);
        return each;
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        for (int at = 0; at < 3; at++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }

    private static void print(String what, int size, double value) {
        System.out.printf(Locale.ROOT, "SLOPE %-62s at %6d: %12.2f%n", what, size, value);
    }
}
