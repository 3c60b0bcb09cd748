package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.limit.LimitRevision;
import io.stackhall.platform.Headers;
import io.stackhall.server.fleet.ScriptedUpstream;
import org.junit.jupiter.api.Test;

/** A limit in the answer to a call, while newer words on the limit reach this host. */
class LateOrderLimitTest {

    private static final LimitRevision BEFORE = new LimitRevision(1, 1);
    private static final LimitRevision NEWER = new LimitRevision(1, 2);

    // An older limit counted as told after the newest one, and loosened it.
    @Test
    void limitOfALateAnswerCountsAsNewerThanTheWordsThatOvertookIt() throws Exception {
        try (EngineCalls calls = new EngineCalls();
                ScriptedUpstream engine =
                        new ScriptedUpstream(
                                "i-1",
                                (request, to) -> {
                                    calls.known.set(NEWER);
                                    to.plain(request, 200, "{}", Headers.LIMIT + ": 50");
                                })) {
            calls.known.set(BEFORE);
            assertThat(calls.get(engine).status()).contains(200);
            assertThat(calls.bases).containsExactly(BEFORE);
        }
    }
}
