package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.fleet.ScriptedUpstream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** An engine whose answer to an order does not end must not fill a control host's memory. */
class EndlessOrderAnswerTest {

    private static final int MAX_SENT_BYTES = 16 << 20;

    @Test
    void answerThatDoesNotEndIsBrokenOff() throws Exception {
        CompletableFuture<Integer> sent = new CompletableFuture<>();
        ScriptedUpstream.Script script =
                (request, to) -> {
                    int bytes = 0;
                    try {
                        to.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                        String block = "x".repeat(64 << 10);
                        while (true) {
                            to.write(block);
                            bytes += block.length();
                        }
                    } finally {
                        sent.complete(bytes);
                    }
                };
        try (EngineCalls calls = new EngineCalls();
                ScriptedUpstream engine = new ScriptedUpstream("i-1", script)) {
            assertThat(calls.get(engine).status()).isEmpty();
            assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
        }
    }
}
