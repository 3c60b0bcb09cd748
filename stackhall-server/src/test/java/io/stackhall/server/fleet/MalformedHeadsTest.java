package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.relay.AnswerTable;
import io.stackhall.server.relay.AnswerTable.Answer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers get where an upstream sends an answer whose head is none of HTTP. */
class MalformedHeadsTest extends RelayFixture {

    /** Several times the pause between two looks at the probes that are due. */
    private static final long PROBE_PAUSE_MILLIS = 300;

    /** An entry host knows its upstreams by then. */
    private static final long ANNOUNCEMENT_MILLIS = 300;

    private final List<Answer> answers = AnswerTable.malformedHeads().toList();
    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger probes = new AtomicInteger();

    @AfterEach
    void closeUpstreams() throws IOException {
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    // Callers got the status 000, or a body of another length, as the answer of the upstream.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void malformedHeadReachesTheCallerAsAnAnswer(String path) throws Exception {
        startUpstreams();
        List<String> wrong = new ArrayList<>();
        for (int number = 0; number < answers.size(); number++) {
            String got = outcome(path, Integer.toString(number));
            if (!got.equals("502") || sent.get() != number + 1) {
                wrong.add(answers.get(number) + " as " + got);
            }
        }
        assertThat(wrong).isEmpty();
    }

    // A request that may be repeated got the broken answer though another instance was well.
    @Test
    void malformedHeadKeepsARepeatableRequestFromAnotherInstance() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    if (sent.get() == 0) {
                        answer(request, to);
                    } else {
                        to.plain(request, 200, "well");
                    }
                };
        try (ScriptedUpstream one = upstream("i-1", script);
                ScriptedUpstream two = upstream("i-2", script)) {
            RawHttp.Message got = fleet.call(1, get("/safe/x", "0"));
            assertThat(got.status()).isEqualTo(200);
            assertThat(got.text()).isEqualTo("well");
        }
    }

    // Each malformed answer was followed by probes of a path that had just carried it.
    @Test
    void malformedHeadIsTakenForABrokenPath() throws Exception {
        startUpstreams();
        for (int number = 0; number < answers.size(); number++) {
            assertThat(outcome("/once/x", Integer.toString(number))).isEqualTo("502");
        }
        pause(PROBE_PAUSE_MILLIS);
        assertThat(probes).hasValue(0);
    }

    /** Starts an upstream for each answer, as one that has failed is passed over for a while. */
    private void startUpstreams() throws Exception {
        for (int number = 0; number < answers.size(); number++) {
            ScriptedUpstream upstream = new ScriptedUpstream("i-" + number, this::answer);
            upstreams.add(upstream);
            fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        }
        pause(ANNOUNCEMENT_MILLIS);
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        String id = request.header("x-request-id");
        if (id.isEmpty()) {
            probes.incrementAndGet();
            to.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else {
            sent.incrementAndGet();
            to.write(answers.get(Integer.parseInt(id)).named("X-Request-Id", id).bytes());
        }
    }

    private String outcome(String path, String id) {
        try {
            return Integer.toString(fleet.call(1, get(path, id)).status());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
