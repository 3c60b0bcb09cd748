package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests that come to an entry host before it knows any routes. */
class FirstRoutesTest {

    private static final String ROUTES =
            """
            {"version":3,"routes":[
             {"name":"once","host":"a.example","path-prefix":"/once/","kind":"unsafe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}]}
            """;

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
    void requestIsServedOnceTheRoutesAreKnown() throws Exception {
        fleet.foundControl();
        LocalFleet.await("routes taken", this::routesTaken);
        try (ScriptedUpstream upstream =
                new ScriptedUpstream("i-1", (request, to) -> to.plain(request, 200, "ok"))) {
            fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
            fleet.startEntry(1);
            RawHttp.Message answer =
                    fleet.call(1, RawHttp.get("/once/x", "r1", "X-Deadline-Ms: 4000"));
            assertThat(answer.status()).isEqualTo(200);
        }
    }

    @Test
    void requestWithLittleTimeIsToldWhenToComeBack() throws Exception {
        fleet.startEntry(1);
        long before = BootClock.nanos();
        RawHttp.Message answer = fleet.call(1, RawHttp.get("/once/x", "r1", "X-Deadline-Ms: 500"));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(Double.parseDouble(answer.header("retry-after"))).isBetween(0.1, 2.0);
        assertThat(TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - before)).isLessThan(400);
    }

    @Test
    void requestIsRefusedAtOnceWhereNobodyTellsRoutes() throws Exception {
        fleet.startEntry(1);
        Thread.sleep(2100);
        long before = BootClock.nanos();
        RawHttp.Message answer = fleet.call(1, RawHttp.get("/once/x", "r1", "X-Deadline-Ms: 9000"));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - before)).isLessThan(400);
    }

    private boolean routesTaken() {
        try {
            return fleet.control(1, "POST", "/-/config/put", ROUTES).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
