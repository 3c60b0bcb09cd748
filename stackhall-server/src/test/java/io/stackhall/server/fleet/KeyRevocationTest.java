package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import io.stackhall.server.control.ControlDaemon;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An entry host that no word from the control hosts reaches any more. */
class KeyRevocationTest {

    private static final String KEY = "north-key-4711";

    private static final String CONFIGURATION =
            """
            {"version":4,"routes":[
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2},
             {"name":"open","host":"a.example","path-prefix":"/open/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2,"public":true}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
              "header-timeout-ms":1000,"idle-timeout-ms":5000},
             "tenants":[{"name":"north","api-keys":["north-key-4711"]}]}
            """;

    @TempDir private Path folder;
    private LocalFleet fleet;
    private final List<ControlDaemon> control = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        for (int number = 1; number <= 3; number++) {
            control.add(fleet.startControl(number, true));
        }
        fleet.startEntry(1);
        LocalFleet.await(
                "configuration taken",
                () -> {
                    try {
                        return fleet.control(1, "POST", "/-/config/put", CONFIGURATION).status()
                                == 200;
                    } catch (IOException e) {
                        return false;
                    }
                });
        LocalFleet.await("ready", () -> fleet.ready(1));
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void keysEndInTimeWhereNoWordOfThemComes() throws Exception {
        try (ScriptedUpstream upstream =
                new ScriptedUpstream("i-1", (request, to) -> to.plain(request, 200, "ok"))) {
            fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
            LocalFleet.await("served", () -> status("/safe/x") == 200);
            for (ControlDaemon daemon : control) {
                fleet.stop(daemon);
            }
            long cutAt = BootClock.nanos();
            LocalFleet.await("keys are refused", () -> status("/safe/x") != 200);
            assertThat(BootClock.nanos() - cutAt).isLessThan(LocalFleet.KEY_REVOCATION.toNanos());
            RawHttp.Message refused = call("/safe/x");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(Double.parseDouble(refused.header("retry-after"))).isPositive();
            assertThat(fleet.ready(1)).isFalse();
            assertThat(status("/open/x")).isEqualTo(200);
        }
    }

    @Test
    void keysCountAgainOnceAQuorumIsBack() throws Exception {
        try (ScriptedUpstream upstream =
                new ScriptedUpstream("i-1", (request, to) -> to.plain(request, 200, "ok"))) {
            fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
            LocalFleet.await("served", () -> status("/safe/x") == 200);
            for (ControlDaemon daemon : control) {
                fleet.stop(daemon);
            }
            LocalFleet.await("keys are refused", () -> status("/safe/x") == 503);
            for (int number = 1; number <= 3; number++) {
                fleet.startControl(number, false);
            }
            LocalFleet.await("served again", () -> status("/safe/x") == 200);
            assertThat(fleet.ready(1)).isTrue();
        }
    }

    @Test
    void whatTheControlHostsKeepIsReachedByItsOwnerAlone() throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> kept = files.filter(Files::isRegularFile).toList();
            assertThat(kept).isNotEmpty();
            for (Path file : kept) {
                assertThat(ownerOnly(file)).as("only its owner reaches %s", file).isTrue();
            }
        }
    }

    private boolean ownerOnly(Path file) throws IOException {
        for (Path part = file; !part.equals(folder); part = part.getParent()) {
            String rights = PosixFilePermissions.toString(Files.getPosixFilePermissions(part));
            if (rights.endsWith("------")) {
                return true;
            }
        }
        return false;
    }

    private int status(String path) {
        try {
            return call(path).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private RawHttp.Message call(String path) throws IOException {
        return fleet.call(
                1, RawHttp.get(path, "r1", "X-Deadline-Ms: 3000", "Authorization: Token " + KEY));
    }
}
