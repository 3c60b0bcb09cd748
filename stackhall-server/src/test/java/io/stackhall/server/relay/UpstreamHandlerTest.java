package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.server.settings.Address;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which ends of a connection are the end of an answer that names no length. */
class UpstreamHandlerTest {

    private final List<String> events = new ArrayList<>();
    private final EmbeddedChannel channel = channelWithHalfAnAnswer();

    @Test
    void answerWithoutLengthIsWholeOnceItsUpstreamHasEndedItsSide() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(events).containsExactly("answered", "half", "completed CONNECTION");
        assertThat(channel.isOpen()).isFalse();
    }

    // A host that ends its connections, as it does when it stops, passed on what it had as whole.
    @Test
    void answerWithoutLengthIsNotWholeIfThisHostClosesTheConnection() {
        channel.close();
        assertThat(events).containsExactly("answered", "half", "failed");
    }

    private EmbeddedChannel channelWithHalfAnAnswer() {
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamHandler handler = new UpstreamHandler(null, decoder, "X-Id");
        EmbeddedChannel created = new EmbeddedChannel(decoder, handler);
        UpstreamCall call =
                new UpstreamCall(
                        UpstreamRoute.direct(new Address("127.0.0.1", 1)),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"),
                        "r1",
                        new Recorder());
        call.sending();
        call.boundTo(created);
        handler.begin(call);
        String half = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nhalf";
        created.writeInbound(Unpooled.copiedBuffer(half, StandardCharsets.US_ASCII));
        return created;
    }

    private final class Recorder implements CallListener {
        @Override
        public boolean sending() {
            return true;
        }

        @Override
        public void answered(HttpResponse head) {
            events.add("answered");
        }

        @Override
        public void received(ByteBuf part) {
            events.add(part.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void completed(BodyFraming framing) {
            events.add("completed " + framing);
        }

        @Override
        public void failed(CallFailure failure) {
            events.add("failed");
        }
    }
}
