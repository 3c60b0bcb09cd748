package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.RepeatedAnswers;
import io.stackhall.server.fleet.ScriptedUpstream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** An engine that sends its answers a second time, in the place of a later one. */
class RepeatedOrderAnswersTest {

    private static final int CALLS = 6;

    private final AtomicInteger answered = new AtomicInteger();

    // An order or a report was taken for answered by the copy of an earlier answer.
    @Test
    void orderIsNotAnsweredByTheAnswerToAnEarlierOne() throws Exception {
        assertOwnAnswers(request -> RepeatedAnswers.bytes(request, 200, nextBody()));
    }

    // The same with engines whose answers to orders do not say which one they belong to.
    @Test
    void orderIsNotAnsweredByAnUnnamedAnswerToAnEarlierOne() throws Exception {
        assertOwnAnswers(
                request -> {
                    String body = nextBody();
                    return "HTTP/1.1 200 X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                });
    }

    private String nextBody() {
        return "answer " + answered.incrementAndGet();
    }

    private static void assertOwnAnswers(Function<RawHttp.Message, String> answers)
            throws Exception {
        try (EngineCalls calls = new EngineCalls();
                ScriptedUpstream engine =
                        new ScriptedUpstream("i-1", new RepeatedAnswers(1, answers))) {
            for (int call = 1; call <= CALLS; call++) {
                String got = new String(calls.get(engine).body(), StandardCharsets.UTF_8);
                assertThat(got).isEqualTo("answer " + call);
            }
        }
    }
}
