package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.Replier;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests that the active configuration does not allow, while a newer one may allow them. */
class DeniedRequestsTest {

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int HEAD_TOO_LARGE = 431;
    private static final int UNAVAILABLE = 503;
    private static final int SMALL_HEAD = 1024;
    private static final int LARGE_HEAD = 8192;
    private static final String LONG_HEADER = "X-Trace: " + "t".repeat(4000);

    @TempDir private Path folder;
    private LocalFleet fleet;
    private final AtomicInteger calls = new AtomicInteger();

    /** The version that the control host sends whole, unless it is silent. */
    private volatile int version = 1;

    private volatile int idleMillis = 15_000;
    private volatile int headLimit = LARGE_HEAD;

    /** The only key that is known; none is needed where it is empty. */
    private volatile String key = "";

    private volatile boolean confirms = true;

    /** Whether hosts receive a new version without asking for it. */
    private volatile boolean announces;

    @BeforeEach
    void create() throws IOException {
        fleet = new LocalFleet(folder, Optional.empty());
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void hostThatNoQuorumHasConfirmedDeniesNoRoute() throws Exception {
        confirms = false;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("unconfirmed routes active", () -> fleet.ready(1));
            RawHttp.Message answer = call("/v2/x");
            assertThat(answer.status()).isEqualTo(UNAVAILABLE);
            assertThat(Double.parseDouble(answer.header("retry-after"))).isPositive();
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void hostThatHasMissedAChangeAsksBeforeItDeniesTheNewRoute() throws Exception {
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            assertThat(call("/v2/x").status()).isEqualTo(NOT_FOUND);
            version = 2;
            Thread.sleep(LocalFleet.ROUTES_STALENESS.toMillis());
            assertThat(call("/v2/x").status()).isNotEqualTo(NOT_FOUND);
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void hostThatLosesTheQuorumNoLongerDenies() throws Exception {
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            assertThat(call("/v2/x").status()).isEqualTo(NOT_FOUND);
            confirms = false;
            Thread.sleep(LocalFleet.ROUTES_STALENESS.toMillis());
            assertThat(call("/v2/x").status()).isEqualTo(UNAVAILABLE);
            long before = BootClock.nanos();
            assertThat(call("/v2/x").status()).isEqualTo(UNAVAILABLE);
            assertThat(TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - before)).isLessThan(250);
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void unknownRoutesInARowCostOneQuestion() throws Exception {
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            long asked = questions(control);
            for (int call = 0; call < 50; call++) {
                assertThat(call("/unknown/x").status()).isEqualTo(NOT_FOUND);
            }
            assertThat(questions(control) - asked).isLessThanOrEqualTo(4);
        }
    }

    @Test
    void newKeyIsNotDeniedByAnOldConfiguration() throws Exception {
        key = "first";
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            assertThat(call("/v1/x", "Authorization: Token second").status())
                    .isEqualTo(UNAUTHORIZED);
            key = "second";
            version = 2;
            Thread.sleep(LocalFleet.ROUTES_STALENESS.toMillis());
            assertThat(call("/v2/x", "Authorization: Token second").status())
                    .isNotIn(UNAUTHORIZED, NOT_FOUND);
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void raisedHeadLimitHoldsOnKeptConnections() throws Exception {
        announces = true;
        headLimit = SMALL_HEAD;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            try (Socket kept = fleet.callerOf(1)) {
                assertThat(LocalFleet.exchange(kept, request("/unknown/x")).status())
                        .isEqualTo(NOT_FOUND);
                headLimit = LARGE_HEAD;
                version = 2;
                LocalFleet.await("second version active", () -> status("/v2/x") != NOT_FOUND);
                assertThat(LocalFleet.exchange(kept, request("/v2/x", LONG_HEADER)).status())
                        .isNotEqualTo(HEAD_TOO_LARGE);
            }
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void loweredHeadLimitHoldsOnKeptConnections() throws Exception {
        announces = true;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            try (Socket kept = fleet.callerOf(1)) {
                assertThat(LocalFleet.exchange(kept, request("/unknown/x")).status())
                        .isEqualTo(NOT_FOUND);
                headLimit = SMALL_HEAD;
                version = 2;
                LocalFleet.await("second version active", () -> status("/v2/x") != NOT_FOUND);
                assertThat(LocalFleet.exchange(kept, request("/v2/x", LONG_HEADER)).status())
                        .isEqualTo(HEAD_TOO_LARGE);
            }
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void firstLineAndHeadersMayEachTakeTheLimit() throws Exception {
        headLimit = SMALL_HEAD;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            String target = "/v1/" + "p".repeat(900);
            assertThat(call(target, "X-Trace: " + "t".repeat(800)).status())
                    .isNotEqualTo(HEAD_TOO_LARGE);
            assertThat(call(target, "X-Trace: " + "t".repeat(1100)).status())
                    .isEqualTo(HEAD_TOO_LARGE);
            assertThat(call("/v1/" + "p".repeat(1100)).status()).isEqualTo(HEAD_TOO_LARGE);
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void raisedIdleTimeoutHoldsForConnectionsThatRest() throws Exception {
        announces = true;
        idleMillis = 4000;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            try (Socket kept = fleet.callerOf(1)) {
                assertThat(LocalFleet.exchange(kept, request("/unknown/x")).status())
                        .isEqualTo(NOT_FOUND);
                idleMillis = 15_000;
                version = 2;
                Thread.sleep(5500);
                assertThat(LocalFleet.exchange(kept, request("/unknown/x")).status())
                        .isEqualTo(NOT_FOUND);
            }
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void headIsNotTooLargeForALimitThatMayHaveBeenRaised() throws Exception {
        headLimit = SMALL_HEAD;
        try (FakePeer control = control()) {
            fleet.startEntry(1);
            LocalFleet.await("ready", () -> fleet.ready(1));
            headLimit = LARGE_HEAD;
            version = 2;
            Thread.sleep(LocalFleet.ROUTES_STALENESS.toMillis());
            assertThat(call("/v2/x", LONG_HEADER).status()).isEqualTo(UNAVAILABLE);
            assertThat(call("/v2/x", LONG_HEADER).status()).isNotIn(HEAD_TOO_LARGE, NOT_FOUND);
            assertThat(control.received()).isNotEmpty();
        }
    }

    @Test
    void hostWithoutAConfigurationDeniesNothing() throws Exception {
        fleet.startEntry(1);
        String large = "X-Trace: " + "t".repeat(20_000);
        RawHttp.Message answer = call("/v1/x", large);
        assertThat(answer.status()).isEqualTo(UNAVAILABLE);
        assertThat(Double.parseDouble(answer.header("retry-after"))).isPositive();
    }

    private FakePeer control() {
        return new FakePeer(fleet.peers("127.0.3.1"), this::answer);
    }

    /** Sends the newest configuration, confirmed unless no quorum is to be reached. */
    private void answer(Frame frame, Replier replier) {
        if (!frame.hasFleetFollow()) {
            return;
        }
        FleetFollow follow = frame.getFleetFollow();
        if (follow.getRoutesVersion() < (announces ? version : 0)) {
            replier.send(
                    Frame.newBuilder()
                            .setInstances(
                                    InstancesUpdate.newBuilder().setWhole(true).setEntryHosts(1))
                            .build());
            replier.send(update(whole()));
        }
        if (confirms && follow.getWantsConfirmation()) {
            replier.send(update(whole().setConfirmed(true).setAskedAt(follow.getAskedAt())));
        }
    }

    private static long questions(FakePeer control) {
        return control.received().stream()
                .filter(frame -> frame.getFleetFollow().getWantsConfirmation())
                .count();
    }

    private static Frame update(RoutesUpdate.Builder update) {
        return Frame.newBuilder().setRoutes(update).build();
    }

    private RoutesUpdate.Builder whole() {
        ByteString body = ByteString.copyFrom(configuration(), StandardCharsets.UTF_8);
        return RoutesUpdate.newBuilder().setVersion(version).setBody(body);
    }

    /** Returns a configuration whose one route is named after its version. */
    private String configuration() {
        String tenants =
                key.isEmpty()
                        ? ""
                        : ",\"tenants\":[{\"name\":\"north\",\"api-keys\":[\"" + key + "\"]}]";
        return """
        {"version":%d,"routes":[
         {"name":"v","host":"a.example","path-prefix":"/v%d/","kind":"safe",
          "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
          "max-attempts":2}],
         "services":[{"name":"plain","health-path":"/health","max-connections":50}],
         "limits":{"max-header-bytes":%d,"max-body-bytes":100000,
          "header-timeout-ms":1000,"idle-timeout-ms":%d}%s}
        """
                .formatted(version, version, headLimit, idleMillis, tenants);
    }

    private int status(String target) {
        try {
            return call(target).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private RawHttp.Message call(String target, String... headers) throws IOException {
        return fleet.call(1, request(target, headers));
    }

    private String request(String target, String... headers) {
        String deadline = "X-Deadline-Ms: 800";
        String all = String.join("\r\n", headers);
        String id = "r" + calls.incrementAndGet();
        return all.isEmpty()
                ? RawHttp.get(target, id, deadline)
                : RawHttp.get(target, id, deadline, all);
    }
}
