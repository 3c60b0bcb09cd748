package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.server.settings.Address;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Which ends of a connection are the end of an answer that names no length. */
class UpstreamHandlerTest {

    private final RecordingListener answer = new RecordingListener();
    private final EmbeddedChannel channel = channelWithHalfAnAnswer();

    @Test
    void answerWithoutLengthIsWholeOnceItsUpstreamHasEndedItsSide() throws Exception {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(answer.ended()).isEqualTo("CONNECTION: half");
        assertThat(channel.isOpen()).isFalse();
    }

    // A host that ends its connections, as it does when it stops, passed on what it had as whole.
    @Test
    void answerWithoutLengthIsNotWholeIfThisHostClosesTheConnection() throws Exception {
        channel.close();
        assertThat(answer.begun()).isEqualTo("half");
        assertThat(answer.ended()).isEqualTo("failed");
    }

    private EmbeddedChannel channelWithHalfAnAnswer() {
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamHandler handler = new UpstreamHandler(null, decoder, "X-Id", 1);
        EmbeddedChannel created = new EmbeddedChannel(decoder, handler);
        UpstreamCall call =
                new UpstreamCall(
                        UpstreamRoute.direct(new Address("127.0.0.1", 1)),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"),
                        new AnswerIdentity.Echoed("r1"),
                        answer);
        call.sending();
        call.boundTo(created);
        handler.begin(call);
        String half = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nhalf";
        created.writeInbound(Unpooled.copiedBuffer(half, StandardCharsets.US_ASCII));
        return created;
    }
}
