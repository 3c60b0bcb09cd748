package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** An upstream of a service whose upstreams bear little while they are cold. */
class ColdUpstreamTest extends RelayFixture {

    private static final int BEARS_PER_SECOND = 4;

    private static final String ROUTES =
            """
            {"version":8,"routes":[
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50,
              "cold-start-s":2.0,"cold-per-s":4.0}]}
            """;

    @Test
    void coldUpstreamIsSparedUntilItIsWarm() throws Exception {
        assertThat(put(ROUTES)).isEqualTo(200);
        try (ScriptedUpstream cold = answering("i-1");
                ScriptedUpstream warm = answering("i-2")) {
            heartbeat(warm, "yoff", 0, 1);
            heartbeat(cold, "plateau", 2000, 1);
            pause(300);
            long began = System.nanoTime();
            for (int count = 0; count < 40; count++) {
                assertThat(status("c" + count)).isEqualTo(200);
            }
            double seconds = Math.ceil((System.nanoTime() - began) / 1e9);
            assertThat(cold.requests().size())
                    .isLessThanOrEqualTo((int) (seconds * BEARS_PER_SECOND * 1.5 + 5));
            heartbeat(cold, "plateau", 0, 2);
            int before = cold.requests().size();
            LocalFleet.await(
                    "used when warm",
                    () -> {
                        status("w");
                        return cold.requests().size() > before + 10;
                    });
        }
    }

    private int status(String id) {
        try {
            return fleet.call(1, RawHttp.get("/safe/x", id, "X-Deadline-Ms: 2000")).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static ScriptedUpstream answering(String id) throws IOException {
        return new ScriptedUpstream(id, (request, to) -> to.plain(request, 200, "ok"));
    }

    private void heartbeat(ScriptedUpstream upstream, String zone, int coldMillis, long sequence)
            throws IOException {
        String body =
                upstream.heartbeat("plain", "ready", sequence, "[]")
                        .replace("\"zone\":\"plateau\"", "\"zone\":\"" + zone + "\"")
                        .replace("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":" + coldMillis);
        fleet.heartbeat(2, upstream, body);
    }
}
