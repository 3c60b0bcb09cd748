package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * After all hosts had started anew, requests on a route that an acknowledged configuration had
 * added were refused with 404 at some entry hosts. Each control host applied its log from the start
 * and passed every configuration in it on as if it were news, on the thread that also carries the
 * group's heartbeats, so that its leader lost the lease. An entry host that had started anew held
 * nothing newer, and took a quorum's word on the newest version for a word on the old one that it
 * held.
 *
 * <p>What settled it, from the hosts' logs after a restart with 500 changes in the log:
 *
 * <pre>
 * control-2  control.leads leading=true, and leading=false 388 ms later
 * control-2  routes.told version=1 was=-1 followers=3, and so on to version=500
 * entry-1    routes.confirmed version=1
 * entry-1    routes.obeyed version=1 heard=500 confirmed=500
 * </pre>
 */
class RoutesAfterRestartTest {

    private static final int CHANGES = 40;

    /** By then each control host has answered some of the questions. */
    private static final int MANY = 60;

    private static final int NOT_FOUND = 404;
    private static final int SERVED = 200;

    @TempDir private Path folder;
    private LocalFleet fleet;

    @BeforeEach
    void create() throws IOException {
        fleet = new LocalFleet(folder);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void controlHostThatStartsAnewTellsNothingThatWasReplacedBefore() throws Exception {
        fleet.foundControl();
        LocalFleet.await("first routes", () -> put(1));
        for (int version = 2; version <= CHANGES; version++) {
            assertThat(put(version)).isTrue();
        }
        List<Address> control = controlHosts();
        try (FakePeer entry = new FakePeer(fleet.peers("127.0.4.9"), (frame, replier) -> {})) {
            control.forEach(host -> entry.link(host, () -> {}));
            fleet.restartControl();
            LocalFleet.await(
                    "all told",
                    () -> {
                        control.forEach(host -> entry.send(host, follow(entry)));
                        return told(entry).stream().filter(at -> at == CHANGES).count() > MANY;
                    });
            assertThat(told(entry)).containsOnly(CHANGES);
        }
    }

    @Test
    void confirmationCountsForItsVersionAndNotForAnOlderOne() throws Exception {
        AtomicBoolean tellsNewest = new AtomicBoolean();
        try (FakePeer control =
                new FakePeer(
                        fleet.peers("127.0.3.1"),
                        (frame, replier) -> confirmNewest(frame, replier, tellsNewest))) {
            fleet.startEntry(1);
            LocalFleet.await(
                    "newest confirmed",
                    () -> control.received().stream().anyMatch(Frame::hasFleetFollow));
            List<Integer> statuses = new ArrayList<>();
            AtomicInteger calls = new AtomicInteger();
            for (int call = 0; call < 8; call++) {
                statuses.add(status(2, calls));
            }
            tellsNewest.set(true);
            LocalFleet.await(
                    "newest in force",
                    () -> {
                        statuses.add(status(2, calls));
                        return fleet.ready(1) && statuses.getLast() != NOT_FOUND;
                    });
            assertThat(statuses).doesNotContain(NOT_FOUND);
        }
    }

    /**
     * While changes followed each other every 100 ms, each host asked another control host four
     * times a second for a whole configuration that its primary was about to tell it.
     */
    @Test
    void whatThePrimaryTellsInTimeIsNotAskedOfOthers() throws Exception {
        AtomicReference<Replier> way = new AtomicReference<>();
        try (FakePeer control =
                new FakePeer(fleet.peers("127.0.3.1"), (frame, replier) -> way.set(replier))) {
            fleet.startEntry(1);
            LocalFleet.await("follows", () -> way.get() != null);
            for (int version = 1; version <= 30; version++) {
                way.get().send(update(RoutesUpdate.newBuilder().setVersion(version + 1)));
                Thread.sleep(100);
                way.get().send(update(whole(version + 1).setConfirmed(true)));
            }
            assertThat(control.received())
                    .noneMatch(frame -> frame.getFleetFollow().getWantsRoutes());
        }
    }

    /** Tells the first configuration whole, and that a quorum has confirmed the second. */
    private static void confirmNewest(Frame frame, Replier replier, AtomicBoolean tellsNewest) {
        if (!frame.hasFleetFollow()) {
            return;
        }
        replier.send(
                Frame.newBuilder()
                        .setInstances(InstancesUpdate.newBuilder().setWhole(true).setEntryHosts(1))
                        .build());
        replier.send(update(whole(1)));
        RoutesUpdate.Builder newest =
                tellsNewest.get() ? whole(2) : RoutesUpdate.newBuilder().setVersion(2);
        replier.send(
                update(newest.setConfirmed(true).setAskedAt(frame.getFleetFollow().getAskedAt())));
    }

    private static Frame update(RoutesUpdate.Builder update) {
        return Frame.newBuilder().setRoutes(update).build();
    }

    private static RoutesUpdate.Builder whole(int version) {
        ByteString body = ByteString.copyFrom(routes(version), StandardCharsets.UTF_8);
        return RoutesUpdate.newBuilder().setVersion(version).setBody(body);
    }

    private List<Address> controlHosts() {
        return List.of(
                fleet.peers("127.0.3.1"), fleet.peers("127.0.3.2"), fleet.peers("127.0.3.3"));
    }

    private static Frame follow(FakePeer entry) {
        return Frame.newBuilder()
                .setFleetFollow(
                        FleetFollow.newBuilder()
                                .setHost(entry.name())
                                .setConnection(1)
                                .setRoutesVersion(-1)
                                .setWantsConfirmation(true)
                                .setPrimary(true))
                .build();
    }

    private static List<Integer> told(FakePeer entry) {
        return entry.received().stream()
                .filter(Frame::hasRoutes)
                .map(frame -> Math.toIntExact(frame.getRoutes().getVersion()))
                .toList();
    }

    private int status(int version, AtomicInteger calls) {
        String request =
                RawHttp.get(
                        "/v" + version + "/x", "r" + calls.incrementAndGet(), "X-Deadline-Ms: 600");
        try {
            return fleet.call(1, request).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private boolean put(int version) {
        try {
            return fleet.control(1, "POST", "/-/config/put", routes(version)).status() == SERVED;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns a configuration whose one route is named after its version. */
    private static String routes(int version) {
        return """
        {"version":%d,"routes":[
         {"name":"v","host":"a.example","path-prefix":"/v%d/","kind":"safe",
          "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
          "max-attempts":2}],
         "services":[{"name":"plain","health-path":"/health","max-connections":50}]}
        """
                .formatted(version, version);
    }
}
