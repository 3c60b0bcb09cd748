package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.server.relay.AnswerTable.Answer;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers that are cut at any byte count as whole only where all of them has come. */
class CutAnswersTest {

    /** How the connection ends behind the cut. */
    enum Ending {
        IN_ORDER,
        RESET,
        BY_THIS_HOST;

        void end(EmbeddedChannel channel) {
            switch (this) {
                case IN_ORDER ->
                        channel.pipeline()
                                .fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                case RESET -> {
                    channel.pipeline().fireExceptionCaught(new IOException("reset"));
                }
                case BY_THIS_HOST -> channel.close();
            }
            channel.close();
        }
    }

    static Stream<Answer> answers() {
        return AnswerTable.answers();
    }

    static Stream<Answer> answersOfTheirOwn() {
        return AnswerTable.answersOfTheirOwn();
    }

    static Stream<Answer> answersToHead() {
        return AnswerTable.answersToHead();
    }

    // A length beside a transfer coding passed the first bytes of an answer for all of it.
    @ParameterizedTest
    @MethodSource("answers")
    void cutAnswerIsNotWhole(Answer answer) throws Exception {
        assertOutcomes(answer, HttpMethod.GET, false);
    }

    // What an earlier answer has left behind in the decoder may make a cut head look whole.
    @ParameterizedTest
    @MethodSource("answersOfTheirOwn")
    void cutAnswerOnAKeptConnectionIsNotWhole(Answer answer) throws Exception {
        assertOutcomes(answer, HttpMethod.GET, true);
    }

    // The answer to HEAD is whole without a body, but not without the end of its head.
    @ParameterizedTest
    @MethodSource("answersToHead")
    void cutAnswerToAHeadRequestIsNotWhole(Answer answer) throws Exception {
        assertOutcomes(answer, HttpMethod.HEAD, false);
    }

    private static void assertOutcomes(Answer answer, HttpMethod method, boolean kept)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        for (Ending ending : Ending.values()) {
            for (int cut = 0; cut <= answer.bytes().length(); cut++) {
                boolean whole = answer.isWhole(cut, ending == Ending.IN_ORDER);
                String due = whole ? answer.body(cut) : "failed";
                for (int step : new int[] {1, answer.bytes().length()}) {
                    Connection connection = new Connection(kept);
                    RecordingListener heard = connection.begin("r1", method);
                    connection.receive(answer.bytes().substring(0, cut), step);
                    ending.end(connection.channel);
                    String outcome = heard.ended().replaceFirst("^[A-Z]+: ", "");
                    if (!outcome.equals(due)) {
                        wrong.add(cut + " bytes by " + step + ", " + ending + ": " + outcome);
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** A connection to an upstream. */
    private static final class Connection {
        private final AnswerDecoder decoder = new AnswerDecoder();
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final UpstreamHandler handler =
                new UpstreamHandler(
                        new UpstreamClient(channel.eventLoop(), "X-Id"), decoder, "X-Id", 1);

        Connection(boolean kept) throws Exception {
            channel.pipeline().addLast(decoder, handler);
            if (kept) {
                RecordingListener earlier = begin("r0", HttpMethod.GET);
                receive("HTTP/1.1 200 X\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok", 1);
                assertThat(earlier.ended()).isEqualTo("LENGTH: ok");
            }
        }

        RecordingListener begin(String id, HttpMethod method) {
            RecordingListener listener = new RecordingListener();
            UpstreamCall call =
                    new UpstreamCall(
                            UpstreamRoute.direct(new Address("127.0.0.1", 1)),
                            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x"),
                            new AnswerIdentity.Echoed(id),
                            listener);
            call.sending();
            call.boundTo(channel);
            handler.begin(call);
            channel.pipeline()
                    .fireUserEventTriggered(new UpstreamClient.RequestWritten(call, true));
            return listener;
        }

        void receive(String bytes, int step) {
            for (int at = 0; at < bytes.length() && channel.isOpen(); at += step) {
                String part = bytes.substring(at, Math.min(bytes.length(), at + step));
                channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
            }
        }
    }
}
