package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import io.stackhall.core.overload.ConnectionShedder;
import io.stackhall.core.overload.LoadShedder;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.overload.WorkShare;
import io.stackhall.core.route.RouteTable;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.metrics.FleetMetrics;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests to entry hosts whose event loop is delayed by 300 ms in each iteration. */
class LoadSheddingTest {

    private static final long DELAY_MILLIS = 300;
    private static final int REQUESTS = 8;

    /** Far more than chance gives to one of two hosts while the other has one. */
    private static final int DISPROPORTIONATE_REQUESTS = 14;

    private static final String ROUTES =
            """
            {"version":3,"routes":[
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":12000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
              "header-timeout-ms":5000,"idle-timeout-ms":20000}}
            """;

    @TempDir private Path folder;
    private LocalFleet fleet;
    private ScriptedUpstream upstream;
    private volatile boolean delayed;

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        fleet.foundControl();
        upstream = new ScriptedUpstream("i-1", LoadSheddingTest::answer);
    }

    @AfterEach
    void stop() throws IOException {
        delayed = false;
        upstream.close();
        fleet.close();
    }

    /** Requests whose ids begin with "held" get no answer. */
    private static void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        if (!request.header("x-request-id").startsWith("held")) {
            to.plain(request, 200, "ok");
        }
    }

    /** A host that admits all requests while it is overloaded answers all of them late. */
    @Test
    void overloadedHostWithASmallProcessorShareRefusesAndRecovers() throws Exception {
        List<RawHttp.Message> answers = answersOfDelayedHost(0.3);
        List<RawHttp.Message> refused =
                answers.stream().filter(answer -> answer.status() == 503).toList();
        assertThat(refused).isNotEmpty();
        assertThat(refused)
                .allSatisfy(
                        answer -> {
                            assertThat(answer.header("x-request-id")).startsWith("busy");
                            assertThat(Double.parseDouble(answer.header("retry-after")))
                                    .isBetween(0.5, 4.0);
                        });
        assertThat(upstream.requests())
                .extracting(request -> request.header("x-request-id"))
                .filteredOn(id -> id.startsWith("busy"))
                .hasSize(REQUESTS - refused.size());
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 3, "[]"));
        LocalFleet.await("recovered", () -> status("after") == 200);
    }

    /** Hosts whose settings name no small share admit all requests, as before. */
    @Test
    void overloadedHostWithAWholeCoreRefusesNothing() throws Exception {
        assertThat(answersOfDelayedHost(1)).allMatch(answer -> answer.status() == 200);
    }

    /** A failure here leaves requests unanswered that have waited for the first routes. */
    @Test
    void routesWithoutALatencyObjectiveAreTaken() {
        String without = ROUTES.replace("\"target-latency-ms\":500,", "");
        assertThat(without).doesNotContain("target-latency-ms");
        RouteTable routes =
                ConfigurationDecoder.decode(without.getBytes(StandardCharsets.UTF_8)).get();
        LoadShedding shedding =
                new LoadShedding(
                        new LoopDelayMeter(),
                        new LoadShedder(new Random(1)),
                        new ConnectionShedder(),
                        now -> WorkShare.UNKNOWN,
                        new FleetMetrics());
        assertThatCode(() -> shedding.setRoutes(routes)).doesNotThrowAnyException();
    }

    @Test
    void hostThatAloneIsOverloadedClosesNewConnectionsUnread() throws Exception {
        EntryDaemon entry = fleet.startEntry(1, 0.3);
        fleet.startEntry(2, 0.3);
        LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
        LocalFleet.await("ready", () -> fleet.ready(1) && fleet.ready(2));
        String heartbeat = upstream.heartbeat("plain", "ready", 1, "[]");
        fleet.heartbeat(1, upstream, heartbeat.replace("\"slots\":4", "\"slots\":16"));
        LocalFleet.await("served", () -> status("before") == 200);
        List<Socket> held = new ArrayList<>(List.of(send(2, "held0")));
        try {
            for (int number = 1; number <= DISPROPORTIONATE_REQUESTS; number++) {
                held.add(send(1, "held" + number));
            }
            LocalFleet.await("held", () -> upstream.requests().size() > held.size());
            delayed = true;
            entry.loop().execute(() -> delay(entry));
            List<String> closed = new ArrayList<>();
            AtomicInteger rounds = new AtomicInteger();
            LocalFleet.await(
                    "closed unread",
                    () -> {
                        closed.addAll(closedUnread("late" + rounds.incrementAndGet()));
                        return !closed.isEmpty();
                    });
            assertThat(upstream.requests())
                    .extracting(request -> request.header("x-request-id"))
                    .doesNotContainAnyElementsOf(closed);
        } finally {
            for (Socket caller : held) {
                caller.close();
            }
        }
    }

    /** Sends requests at once and returns the ids of those whose connections were closed. */
    private List<String> closedUnread(String prefix) {
        List<String> closed = new ArrayList<>();
        List<Socket> callers = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            try {
                callers.add(send(1, prefix + "-" + number));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        for (int number = 0; number < REQUESTS; number++) {
            try (Socket caller = callers.get(number)) {
                RawHttp.read(caller.getInputStream(), true);
            } catch (IOException e) {
                closed.add(prefix + "-" + number);
            }
        }
        return closed;
    }

    private Socket send(int host, String id) throws IOException {
        Socket caller = fleet.callerOf(host);
        caller.getOutputStream().write(get(id).getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private List<RawHttp.Message> answersOfDelayedHost(double processorShare) throws Exception {
        EntryDaemon entry = fleet.startEntry(1, processorShare);
        LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
        LocalFleet.await("ready", () -> fleet.ready(1));
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        LocalFleet.await("served", () -> status("before") == 200);
        delayed = true;
        entry.loop().execute(() -> delay(entry));
        TimeUnit.MILLISECONDS.sleep(6 * DELAY_MILLIS);
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 2, "[]"));
        List<Socket> callers = new ArrayList<>();
        for (int count = 0; count < REQUESTS; count++) {
            Socket caller = fleet.callerOf(1);
            callers.add(caller);
            byte[] request = get("busy" + count).getBytes(StandardCharsets.US_ASCII);
            caller.getOutputStream().write(request);
        }
        List<RawHttp.Message> answers = new ArrayList<>();
        for (Socket caller : callers) {
            answers.add(RawHttp.read(caller.getInputStream(), true));
            caller.close();
        }
        delayed = false;
        return answers;
    }

    /** Holds the event loop up in each of its iterations. */
    private void delay(EntryDaemon entry) {
        if (delayed) {
            try {
                TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            entry.loop().schedule(() -> delay(entry), 1, TimeUnit.MILLISECONDS);
        }
    }

    private int status(String id) {
        return fleet.statusOf(1, get(id));
    }

    private static String get(String id) {
        return RawHttp.get("/safe/x", id, "X-Deadline-Ms: 12000");
    }
}
