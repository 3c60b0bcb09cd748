package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A leader that was cut off wrote an order to an engine, gave it up after 0.9 s and closed the
 * connection. A connection that is closed goes on delivering what was written on it: when the cut
 * was over, some 3 s later, the engine got the order, 2.1 s after the first order of the next
 * leader. Only a reset makes sure that nothing is delivered any more.
 */
class CancelledCallTest {

    private static final int LONG_BODY = 16 << 20;

    private final MultiThreadIoEventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = threads.next();

    @AfterEach
    void stop() {
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void nothingOfACallThatIsResetIsDeliveredAnyMore() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            CompletableFuture<UpstreamCall> call = new CompletableFuture<>();
            Address address = new Address("127.0.0.1", server.getLocalPort());
            loop.execute(
                    () ->
                            call.complete(
                                    new UpstreamClient(loop, "X-Id")
                                            .send(
                                                    address,
                                                    longRequest(),
                                                    new AnswerIdentity.Place(),
                                                    new RecordingListener())));
            try (Socket engine = server.accept()) {
                engine.setSoTimeout(10_000);
                assertThat(engine.getInputStream().read()).isEqualTo('P');
                loop.submit(call.get()::reset).get();
                assertThatThrownBy(() -> readAll(engine))
                        .isInstanceOf(SocketException.class)
                        .hasMessageContaining("reset");
            }
        }
    }

    /** Far more than the buffers between the two hold, so that a part of it is held up. */
    private static FullHttpRequest longRequest() {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                "/order",
                Unpooled.wrappedBuffer(new byte[LONG_BODY]));
    }

    private static void readAll(Socket socket) throws IOException {
        byte[] part = new byte[1 << 16];
        int read = 0;
        while (read >= 0) {
            read = socket.getInputStream().read(part);
        }
    }
}
