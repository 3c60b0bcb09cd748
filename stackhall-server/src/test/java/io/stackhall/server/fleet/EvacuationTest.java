package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** An operator empties a zone, and takes that back. */
class EvacuationTest extends RelayFixture {

    private static final int RESTARTS = 12;

    private static final String START = "/-/evacuate/plateau/start";
    private static final String END = "/-/evacuate/plateau/end";

    /** Word between hosts takes some ten milliseconds. */
    private static final int TOLD_MILLIS = 500;

    private int calls;

    @Test
    void nothingIsSentToAZoneThatIsEvacuatedUntilThatIsTakenBack() throws Exception {
        try (ScriptedUpstream stays = upstreamIn("yoff", "i-1");
                ScriptedUpstream leaves = upstreamIn("plateau", "i-2")) {
            LocalFleet.await("is used", () -> callsUntil(leaves));
            assertThat(order(START)).isEqualTo(200);
            // An answer may be lost on its way: the same is sent again, to any host.
            assertThat(order(START)).isEqualTo(200);
            pause(TOLD_MILLIS);
            int before = leaves.requests().size();
            callMany();
            assertThat(leaves.requests()).hasSize(before);
            assertThat(order(END)).isEqualTo(200);
            LocalFleet.await("used again", () -> callsUntil(leaves));
        }
    }

    @Test
    void evacuationOutlivesARestartOfAllHosts() throws Exception {
        try (ScriptedUpstream stays = upstreamIn("yoff", "i-1");
                ScriptedUpstream leaves = upstreamIn("plateau", "i-2")) {
            LocalFleet.await("is used", () -> callsUntil(leaves));
            assertThat(order(START)).isEqualTo(200);
            fleet.restartAll();
            int before = leaves.requests().size();
            heartbeat(stays, "yoff");
            heartbeat(leaves, "plateau");
            LocalFleet.await("ready", () -> fleet.ready(1));
            LocalFleet.await("served", () -> status() == 200);
            callMany();
            assertThat(leaves.requests()).hasSize(before);
        }
    }

    @Test
    void noRequestSlipsThroughBetweenTheFirstRoutesAndTheEvacuatedZones() throws Exception {
        try (ScriptedUpstream stays = upstreamIn("yoff", "i-1");
                ScriptedUpstream leaves = upstreamIn("plateau", "i-2")) {
            assertThat(order(START)).isEqualTo(200);
            for (int round = 0; round < RESTARTS; round++) {
                fleet.restartAll();
                heartbeat(stays, "yoff");
                heartbeat(leaves, "plateau");
                LocalFleet.await("served", () -> status() == 200);
            }
            assertThat(leaves.requests()).isEmpty();
        }
    }

    private void callMany() {
        for (int count = 0; count < 30; count++) {
            assertThat(status()).isEqualTo(200);
        }
    }

    /** Makes a call, and returns whether the upstream has got any that was not there before. */
    private boolean callsUntil(ScriptedUpstream upstream) {
        int before = upstream.requests().size();
        status();
        return upstream.requests().size() > before;
    }

    private int status() {
        try {
            return fleet.call(1, RawHttp.get("/safe/x", "r" + ++calls, "X-Deadline-Ms: 2000"))
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private int order(String path) throws IOException {
        return fleet.control(1 + calls % 3, "POST", path, "").status();
    }

    private ScriptedUpstream upstreamIn(String zone, String id) throws IOException {
        ScriptedUpstream upstream =
                new ScriptedUpstream(id, (request, to) -> to.plain(request, 200, "ok"));
        heartbeat(upstream, zone);
        return upstream;
    }

    private void heartbeat(ScriptedUpstream upstream, String zone) throws IOException {
        String body = upstream.heartbeat("plain", "ready", 1, "[]");
        fleet.heartbeat(
                2, upstream, body.replaceFirst("\"zone\":\"[a-z]*\"", "\"zone\":\"" + zone + "\""));
    }
}
