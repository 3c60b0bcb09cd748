package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An upstream that starts again under its id, and records that no upstream has written. */
class RestartedUpstreamTest extends RelayFixture {

    private static final long FIRST_START = 1_733_000_000_000L;
    private static final long SECOND_START = FIRST_START + 700;

    @Test
    void upstreamThatStartsAgainUnderItsIdIsServedFromAgain() throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream("i-1", answers("first"))) {
            beat(1, first, FIRST_START, 90);
            LocalFleet.await("first life serves", () -> "first".equals(answer("r1")));
        }
        try (ScriptedUpstream second = new ScriptedUpstream("i-1", answers("second"))) {
            beat(2, second, SECOND_START, 1);
            LocalFleet.await("second life serves", () -> "second".equals(answer("r2")));
        }
    }

    @Test
    void lateHeartbeatOfTheLifeBeforeDoesNotTakeTheNextOneAway() throws Exception {
        try (ScriptedUpstream first = new ScriptedUpstream("i-1", answers("first"));
                ScriptedUpstream second = new ScriptedUpstream("i-1", answers("second"))) {
            beat(1, first, FIRST_START, 90);
            beat(2, second, SECOND_START, 1);
            LocalFleet.await("second life serves", () -> "second".equals(answer("r1")));
            beat(3, first, FIRST_START, 91);
            fleet.control(
                    1, "POST", "/-/instances/i-1/deregister", "{\"born\":" + FIRST_START + "}");
            pause(300);
            assertThat(answer("r2")).isEqualTo("second");
        }
    }

    @Test
    void recordsOfOtherWritersHarmNobody() throws Exception {
        try (ScriptedUpstream upstream = upstream(answers("good"))) {
            LocalFleet.await("serves", () -> "good".equals(answer("r1")));
            String good = upstream.heartbeat("plain", "ready", 5, "[]");
            List<String> foreign =
                    List.of(
                            "",
                            "\u0001\u0002",
                            "{\"service\":",
                            "[]",
                            "{}",
                            good.replace("\"ready\"", "\"starting\""),
                            good.replace("\"slots\":4", "\"slots\":\"4\""),
                            good.replace("\"plain\"", "\"nobody\""),
                            good.replace("\"plain\"", "17"));
            for (String body : foreign) {
                for (String id : List.of("i-1", "i-2", "%00", "x".repeat(300))) {
                    fleet.control(1, "POST", "/-/instances/" + id + "/heartbeat", body);
                }
            }
            pause(300);
            for (int request = 0; request < 10; request++) {
                assertThat(answer("after" + request)).isEqualTo("good");
            }
            fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 6, "[]"));
        }
    }

    private void beat(int control, ScriptedUpstream upstream, long born, long sequence)
            throws IOException {
        String body = upstream.heartbeat("plain", "ready", sequence, "[]");
        fleet.heartbeat(control, upstream, body.replaceFirst("\\{", "{\"born\":" + born + ","));
    }

    private String answer(String id) {
        try {
            return fleet.call(1, get("/safe/x", id)).text();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static ScriptedUpstream.Script answers(String text) {
        return (request, to) -> to.plain(request, 200, text);
    }
}
