package io.stackhall.server.upstreams;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.RequestId;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.relay.AnswerTable;
import io.stackhall.server.relay.AnswerTable.Answer;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** What becomes of an attempt whose upstream sends a head that is none of HTTP. */
class MalformedAttemptAnswersTest {

    private static final long TIMEOUT_MILLIS = 3000;

    private final UpstreamClient client = UpstreamClient.start(Duration.ofSeconds(2));

    static Stream<Answer> answers() {
        return AnswerTable.malformedHeads();
    }

    @AfterEach
    void stop() {
        client.close();
    }

    // Statuses beyond 599, and answers in another version of HTTP, passed for answers.
    @ParameterizedTest
    @MethodSource("answers")
    void malformedHeadPassesForAnAnswer(Answer answer) throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    String id = request.header(UpstreamCall.REQUEST_ID);
                    to.write(answer.named(UpstreamCall.REQUEST_ID, id).bytes());
                };
        try (ScriptedUpstream upstream = new ScriptedUpstream("i-1", script)) {
            UpstreamRequest request =
                    new UpstreamRequest(
                            new RequestId("q"), "GET", "/x", Map.of(), new byte[0], false);
            assertThat(client.call(upstream.address(), request).open(TIMEOUT_MILLIS))
                    .isInstanceOf(UpstreamCall.Opening.Unanswered.class);
        }
    }
}
