package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.control.ControlDaemon;
import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.ScriptedUpstream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upstream that goes on serving after its end was acknowledged, and hosts that missed it. */
class ForgottenEndTest {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Control hosts close a connection on which nothing has come for 0.9 s. */
    private static final long CONNECTIONS_CLOSED_MILLIS = 1800;

    private static final String ROUTES =
            """
            {"version":1,"routes":[
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}]}
            """;

    @TempDir private Path folder;
    private LocalFleet fleet;
    private List<ControlDaemon> controls;
    private EntryDaemon entry;
    private ScriptedUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        controls = fleet.foundControl();
        entry = fleet.startEntry(1);
        upstream = new ScriptedUpstream("i-1", (request, to) -> to.plain(request, OK, "ok"));
        LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == OK);
        LocalFleet.await("ready", () -> fleet.ready(1));
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        LocalFleet.await("served", () -> status(1) == OK);
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        fleet.close();
    }

    // Control hosts that have it in memory only forget it with their processes.
    @Test
    void acknowledgedEndHoldsThoughAllControlHostsStartAnew() throws Exception {
        CountDownLatch wakes = standStill();
        assertThat(deregister(2)).isEqualTo(OK);
        for (int number = 1; number <= 3; number++) {
            fleet.stop(controls.get(number - 1));
        }
        for (int number = 1; number <= 3; number++) {
            fleet.startControl(number, false);
        }
        wakes.countDown();
        assertNothingMoreReachesTheUpstream(1);
    }

    // The one that acknowledged it is the only one that surely had it.
    @Test
    void acknowledgedEndHoldsThoughItsControlHostLosesItsDisk() throws Exception {
        CountDownLatch wakes = standStill();
        assertThat(deregister(2)).isEqualTo(OK);
        for (int number = 1; number <= 3; number++) {
            fleet.stop(controls.get(number - 1));
        }
        delete(folder.resolve("control-2"));
        for (int number = 1; number <= 3; number++) {
            fleet.startControl(number, false);
        }
        wakes.countDown();
        assertNothingMoreReachesTheUpstream(1);
    }

    // A host that is alone may lose what it has acknowledged.
    @Test
    void endIsNotAcknowledgedWithoutAQuorumButHeeded() throws Exception {
        fleet.stop(controls.get(0));
        fleet.stop(controls.get(1));
        LocalFleet.await("not acknowledged", () -> deregister(3) == UNAVAILABLE);
        assertNothingMoreReachesTheUpstream(1);
    }

    // A heartbeat may arrive seconds late, at a control host that was down when the upstream ended.
    @Test
    void lateHeartbeatDoesNotBringBackWhatAnAbsentControlHostMissedTheEndOf() throws Exception {
        fleet.stop(controls.get(2));
        assertThat(deregister(1)).isEqualTo(OK);
        fleet.stop(controls.get(0));
        fleet.stop(controls.get(1));
        for (int number = 1; number <= 3; number++) {
            fleet.startControl(number, false);
        }
        fleet.heartbeat(3, upstream, upstream.heartbeat("plain", "ready", 2, "[]"));
        fleet.startEntry(2);
        LocalFleet.await("ready", () -> fleet.ready(2));
        assertNothingMoreReachesTheUpstream(1);
        assertNothingMoreReachesTheUpstream(2);
    }

    /**
     * Holds the entry host up until the returned latch is released, as a frozen host is, and waits
     * until the control hosts have closed its connections.
     */
    private CountDownLatch standStill() throws InterruptedException {
        CountDownLatch wakes = new CountDownLatch(1);
        entry.loop()
                .execute(
                        () -> {
                            try {
                                wakes.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        Thread.sleep(CONNECTIONS_CLOSED_MILLIS);
        return wakes;
    }

    private int deregister(int control) {
        try {
            return fleet.control(control, "POST", "/-/instances/i-1/deregister", "").status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void assertNothingMoreReachesTheUpstream(int host) throws Exception {
        LocalFleet.await("refused", () -> status(host) == UNAVAILABLE);
        int before = upstream.requests().size();
        for (int count = 0; count < 20; count++) {
            assertThat(status(host)).isEqualTo(UNAVAILABLE);
            Thread.sleep(100);
        }
        assertThat(upstream.requests()).hasSize(before);
    }

    private int status(int host) {
        return fleet.statusOf(host, RawHttp.get("/safe/x", "r", "X-Deadline-Ms: 400"));
    }

    private static void delete(Path root) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
