package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that send an answer a second time, in the place of a later one on its connection. */
class RepeatedAnswersTest extends RelayFixture {

    private static final int CALLS = 12;
    private static final String NOT_RUN = "X-Not-Run: 1";

    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final Set<String> refused = ConcurrentHashMap.newKeySet();

    // A caller that came again with its id got what an earlier run of it had answered.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void answerOfAnEarlierRunIsNotGivenToALaterTryWithTheSameId(int distance) throws Exception {
        try (ScriptedUpstream upstream = repeating(distance, this::successOrError)) {
            for (int call = 0; call < CALLS; call++) {
                RawHttp.Message got = fleet.call(1, get("/once/x", "r" + call % distance));
                assertThat(runs).as(upstream.id()).hasSize(call + 1);
                assertThat(got.text()).isEqualTo("run " + (call + 1));
                assertThat(got.status()).isEqualTo(status(call + 1));
            }
        }
    }

    // A host that closes each connection instead of passing copies over would pass the other cases.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void copiesOfAnswersToOtherRequestsArePassedOverOnOneConnection(int distance) throws Exception {
        RepeatedAnswers answers = new RepeatedAnswers(distance, this::successOrError);
        try (ScriptedUpstream upstream = upstream(answers)) {
            for (int call = 1; call <= CALLS; call++) {
                RawHttp.Message got = fleet.call(1, get("/once/x", "other" + call));
                assertThat(got.text()).isEqualTo("run " + call);
                assertThat(got.status()).isEqualTo(status(call));
            }
            assertThat(answers.copies()).isEqualTo(CALLS - distance);
            assertThat(upstream.connections()).isEqualTo(1);
        }
    }

    // A stale refusal made a request that ran in this very try count as not run.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void refusalOfAnEarlierTryDoesNotMakeALaterOneNotRun(int distance) throws Exception {
        try (ScriptedUpstream upstream =
                repeating(distance, request -> firstRefused(request, NOT_RUN))) {
            for (int call = 0; call < distance; call++) {
                assertThat(fleet.call(1, get("/once/x", "r" + call)).status()).isEqualTo(503);
            }
            RawHttp.Message later = fleet.call(1, get("/once/x", "r0"));
            assertThat(runs).as(upstream.id()).hasSize(1);
            assertThat(later.status()).isEqualTo(200);
        }
    }

    // A host that sent a request again after a rest took the copy of the refusal, and sent it
    // twice.
    @Test
    void requestThatIsSentAgainAfterARestRunsOnce() throws Exception {
        Function<RawHttp.Message, String> answers =
                request -> firstRefused(request, NOT_RUN, "Retry-After: 0.1");
        try (ScriptedUpstream upstream = repeating(1, answers)) {
            RawHttp.Message got = fleet.call(1, get("/once/x", "r1"));
            assertThat(upstream.requests()).hasSize(2);
            assertThat(runs).hasSize(1);
            assertThat(got.status()).isEqualTo(200);
        }
    }

    // A request that named no id took any answer, also another caller's.
    @Test
    void requestWithoutAnIdDoesNotGetAnotherCallersAnswer() throws Exception {
        try (ScriptedUpstream upstream = repeating(1, this::anonymousRunsFail)) {
            assertThat(fleet.call(1, get("/once/x", "r1")).text()).isEqualTo("run 1");
            String unnamed = "GET /once/x HTTP/1.1\r\nHost: a.example\r\n\r\n";
            assertThat(fleet.call(1, unnamed).status()).as(upstream.id()).isEqualTo(400);
            assertThat(fleet.call(1, get("/once/x", "r2")).text()).isEqualTo("run 2");
        }
    }

    // The copy of an answer was read as if it had, or lacked, a body like the answer that was due.
    @Test
    void answersToHeadAndToOtherMethodsAreToldApart() throws Exception {
        try (ScriptedUpstream upstream = repeating(1, this::successOrError)) {
            for (int call = 1; call < CALLS; call += 2) {
                RawHttp.Message whole = fleet.call(1, get("/once/x", "get" + call));
                assertThat(whole.text()).as(upstream.id()).isEqualTo("run " + call);
                assertThat(head("head" + call)).isEqualTo(status(call + 1));
            }
        }
    }

    private ScriptedUpstream repeating(int distance, Function<RawHttp.Message, String> answers)
            throws Exception {
        return upstream(new RepeatedAnswers(distance, answers));
    }

    private String successOrError(RawHttp.Message request) {
        runs.add(request.startLine());
        return RepeatedAnswers.bytes(request, status(runs.size()), "run " + runs.size());
    }

    private String anonymousRunsFail(RawHttp.Message request) {
        return request.header("x-request-id").isEmpty()
                ? RepeatedAnswers.bytes(request, 400, "")
                : successOrError(request);
    }

    /** Refuses the first try of each id, and runs the later ones. */
    private String firstRefused(RawHttp.Message request, String... headers) {
        if (refused.add(request.header("x-request-id"))) {
            return RepeatedAnswers.bytes(request, 503, "", headers);
        }
        runs.add(request.startLine());
        return RepeatedAnswers.bytes(request, 200, "run " + runs.size());
    }

    private int head(String id) throws IOException {
        try (Socket caller = fleet.callerOf(1)) {
            String request = get("/once/x", id).replaceFirst("GET", "HEAD");
            caller.getOutputStream().write(ascii(request));
            return RawHttp.readHead(caller.getInputStream()).status();
        }
    }

    private static int status(int run) {
        return run % 2 == 0 ? 500 : 200;
    }
}
