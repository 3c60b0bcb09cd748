package io.stackhall.server.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.TunnelReply;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.peer.PeerCodec;
import io.stackhall.server.relay.AnswerTable;
import io.stackhall.server.relay.AnswerTable.Answer;
import io.stackhall.server.relay.RecordingListener;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers that end with their connection, by way of another host. */
class TunneledAnswersTest {

    /** Every byte would take a minute. */
    private static final int CUT_STEP = 7;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n";

    private final MultiThreadIoEventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = threads.next();
    private final CompletableFuture<Channel> tunnel = new CompletableFuture<>();
    private final RecordingListener answer = new RecordingListener();
    private final Queue<UpstreamId> heard = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<UpstreamId> brokenOff = new LinkedBlockingQueue<>();
    private ServerSocket upstream;

    @BeforeEach
    void listen() throws IOException {
        upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void answerThatItsUpstreamEndsInGoodOrderIsWhole() throws Exception {
        try (Socket engine = send()) {
            engine.getOutputStream().write("whole".getBytes(StandardCharsets.US_ASCII));
            engine.close();
            assertThat(answer.ended()).isEqualTo("CONNECTION: half whole");
        }
    }

    @Test
    void answerThatItsUpstreamResetsIsNotWhole() throws Exception {
        try (Socket engine = send()) {
            engine.setSoLinger(true, 0);
            engine.close();
            assertThat(answer.ended()).isEqualTo("failed");
        }
    }

    // A host that had no answers of its own took itself for cut off, though others had theirs.
    @Test
    void hostThatPassesAnswersOnHearsOfTheirUpstream() throws Exception {
        try (Socket engine = send()) {
            assertThat(engine.isConnected()).isTrue();
            assertThat(heard).contains(UpstreamId.parse("i-1"));
        }
    }

    // Hosts whose new connections are reset did not notice it by the tunnels of others.
    @Test
    void hostWhoseUpstreamResetsTheTunnelOfAnotherOneHearsOfIt() throws Exception {
        sendRequest();
        try (Socket engine = upstream.accept()) {
            engine.getInputStream().read();
            engine.setSoLinger(true, 0);
        }
        assertThat(answer.ended()).isEqualTo("failed");
        assertThat(brokenOff.poll(5, TimeUnit.SECONDS)).isEqualTo(UpstreamId.parse("i-1"));
    }

    // The connections of a host that is killed end in good order.
    @Test
    void answerWhoseTunnelEndsWithItsHostIsNotWhole() throws Exception {
        try (Socket engine = send()) {
            assertThat(engine.isConnected()).isTrue();
            tunnel.get(5, TimeUnit.SECONDS).close();
            assertThat(answer.ended()).isEqualTo("failed");
        }
    }

    static Stream<Answer> answers() {
        return AnswerTable.answersOfTheirOwn();
    }

    // A head, a length or a chunk that was cut passed for a whole answer.
    @ParameterizedTest
    @MethodSource("answers")
    void cutAnswerIsNotWhole(Answer sent) throws Exception {
        UpstreamRoute route = startRoute();
        List<String> wrong = new ArrayList<>();
        int length = sent.bytes().length();
        for (int cut = length; cut >= 0; cut -= CUT_STEP) {
            for (boolean inOrder : new boolean[] {true, false}) {
                RecordingListener heard = new RecordingListener();
                sendRequest(route, heard);
                try (Socket engine = upstream.accept()) {
                    RawHttp.readHead(engine.getInputStream());
                    String bytes = sent.bytes().substring(0, cut);
                    engine.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
                    engine.setSoLinger(!inOrder, 0);
                }
                String outcome = heard.ended().replaceFirst("^[A-Z]+: ", "");
                String due = sent.isWhole(cut, inOrder) ? sent.body(cut) : "failed";
                // A reset may overtake what was sent before it.
                if (!outcome.equals(due) && (inOrder || !outcome.equals("failed"))) {
                    wrong.add(cut + " bytes, in order " + inOrder + ": " + outcome);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Sends a request through a tunnel; returns once half of its answer has come. */
    private Socket send() throws Exception {
        sendRequest();
        Socket engine = upstream.accept();
        engine.getInputStream().read();
        engine.getOutputStream().write((HEAD + "half ").getBytes(StandardCharsets.US_ASCII));
        assertThat(answer.begun()).isEqualTo("half ");
        engine.getInputStream().readNBytes(engine.getInputStream().available());
        return engine;
    }

    private void sendRequest() throws Exception {
        sendRequest(startRoute(), answer);
    }

    private UpstreamRoute startRoute() throws Exception {
        Address upstreamAddress = new Address("127.0.0.1", upstream.getLocalPort());
        HostId host = new HostId(startHost(upstreamAddress));
        return new UpstreamRoute(
                upstreamAddress, Optional.of(new TunnelRoute(host, UpstreamId.parse("i-1"))));
    }

    private void sendRequest(UpstreamRoute route, RecordingListener heard) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        loop.execute(
                () ->
                        new UpstreamClient(loop, "X-Id")
                                .send(route, request, new AnswerIdentity.Echoed("r1"), heard));
    }

    /** Starts the other host; returns its peer address. */
    private String startHost(Address upstreamAddress) throws Exception {
        UpstreamClient itsClient = new UpstreamClient(loop, "X-Id");
        TunnelAcceptor acceptor =
                new TunnelAcceptor(loop, new OtherHost(itsClient, upstreamAddress));
        Channel server =
                new ServerBootstrap()
                        .group(threads)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        PeerCodec.addTo(channel.pipeline());
                                        channel.pipeline().addLast(new Opener(acceptor));
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** A host that reaches one upstream. */
    private final class OtherHost implements AcceptingHost {
        private final UpstreamClient client;
        private final Address upstreamAddress;

        OtherHost(UpstreamClient client, Address upstreamAddress) {
            this.client = client;
            this.upstreamAddress = upstreamAddress;
        }

        @Override
        public Optional<Address> address(UpstreamId id) {
            return Optional.of(upstreamAddress);
        }

        @Override
        public boolean isDeclining() {
            return false;
        }

        @Override
        public Future<Channel> connect(Address address) {
            return client.connect(address);
        }

        @Override
        public void heard(UpstreamId id, long openedAt) {
            heard.add(id);
        }

        @Override
        public void brokenOff(UpstreamId id) {
            brokenOff.add(id);
        }

        @Override
        public boolean isAtFault(UpstreamId id) {
            return false;
        }

        @Override
        public void notConnected(
                UpstreamId id, boolean refused, Consumer<TunnelReply.Result> judgement) {
            throw new AssertionError(id + " is not reached");
        }
    }

    private final class Opener extends SimpleChannelInboundHandler<Frame> {
        private final TunnelAcceptor acceptor;

        Opener(TunnelAcceptor acceptor) {
            this.acceptor = acceptor;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            tunnel.complete(context.channel());
            acceptor.accept(frame.getOpenTunnel(), context.channel());
        }
    }
}
