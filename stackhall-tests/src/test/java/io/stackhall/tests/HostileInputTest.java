package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.NeighbourReport;
import io.stackhall.rpc.generated.peer.Raft;
import io.stackhall.rpc.generated.peer.Replica;
import io.stackhall.rpc.generated.peer.UpstreamReport;
import io.stackhall.rpc.generated.peer.VoteRequest;
import io.stackhall.tests.harness.Cluster;
import io.stackhall.tests.harness.Deployments;
import io.stackhall.tests.harness.Engine;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.HttpCalls;
import io.stackhall.tests.harness.Reply;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Input that no well-meaning program sends: it gets an error or is dropped, and changes nothing.
 */
class HostileInputTest {

    private static final int FRAMES = 400;
    private static final int LARGE = 2 << 20;
    private static final String CHAT = "/v1/chat/completions";

    @TempDir Path folder;

    @Test
    void callersAndUpstreamsWithBadInputGetAClearError() {
        try (Cluster cluster = oneHost()) {
            String url = cluster.member("a").url();
            String upstreams = "http://127.0.0.1:" + cluster.member("a").upstreamsPort();
            String large = "x".repeat(LARGE);
            assertRefused(HttpCalls.post(url + CHAT, "{"), 400);
            assertRefused(HttpCalls.post(url + CHAT, "[".repeat(100_000)), 400);
            assertRefused(HttpCalls.post(url + CHAT, "{\"model\":7}"), 400);
            assertRefused(HttpCalls.post(url + CHAT, "{\"model\":\"" + large + "\"}"), 413);
            assertRefused(HttpCalls.complete(url, "no-such-model", "u"), 404);
            assertRefused(HttpCalls.get(url + "/services/no-such-service/x"), 404);
            assertRefused(HttpCalls.complete(url, "resumen", "u", "Idempotency-Key", " "), 400);
            assertRefused(
                    HttpCalls.complete(url, "resumen", "u", "Stackhall-Deadline-Ms", "soon"), 400);
            Reply header = HttpCalls.complete(url, "resumen", "u", "X-Long", "x".repeat(100_000));
            assertThat(header.status()).isEqualTo(431);
            for (String said :
                    List.of("", "{}", "null", "[1]", "{\"id\":\"x\",\"zone\":\"plateau\"}")) {
                assertRefused(HttpCalls.post(upstreams + "/announce", said), 400);
            }
            assertRefused(HttpCalls.post(upstreams + "/announce", large), 413);
            assertServes(cluster);
        }
    }

    @Test
    void callerThatSendsHalfARequestHoldsNobodyUp() throws IOException {
        try (Cluster cluster = oneHost()) {
            int port = Integer.parseInt(cluster.member("a").url().split(":", 3)[2]);
            try (Socket first = half(port);
                    Socket second = half(port)) {
                assertServes(cluster);
                assertThat(first.isConnected() && second.isConnected()).isTrue();
            }
        }
    }

    @Test
    void damagedFramesBetweenHostsAreDropped() throws IOException {
        try (Cluster cluster = oneHost()) {
            long revision = cluster.status("a").getRevision();
            Random random = new Random(20261202);
            for (int at = 0; at < FRAMES; at++) {
                sendToPeers(cluster, damaged(random));
            }
            sendToPeers(cluster, ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).array());
            sendToPeers(cluster, ByteBuffer.allocate(8).putInt(-1).array());
            assertServes(cluster);
            assertThat(cluster.status("a").getRevision()).isEqualTo(revision);
            assertThat(cluster.apply("a", Deployments.small())).isEqualTo(revision + 1);
        }
    }

    private Cluster oneHost() {
        Cluster cluster = new Cluster(folder).host("a", "plateau").control("a").start();
        Engine engine = cluster.engine("engine-1", "plateau");
        cluster.apply("a", Deployments.small());
        Eventually.holds("resident", () -> engine.holds("resumen"));
        return cluster;
    }

    private static void assertRefused(Reply reply, int status) {
        assertThat(reply.status()).as(reply.body()).isEqualTo(status);
        assertThat(reply.header("Stackhall-Outcome")).isEqualTo("not-run");
        assertThat(reply.header("Retry-After")).isNotEmpty();
        assertThat(reply.body()).contains("\"message\"");
    }

    private static void assertServes(Cluster cluster) {
        assertThat(cluster.member("a").process().alive()).isTrue();
        String url = cluster.member("a").url();
        Eventually.holds("served", () -> HttpCalls.complete(url, "resumen", "u").status() == 200);
    }

    private static Socket half(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        String head = "POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"mod";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static void sendToPeers(Cluster cluster, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), cluster.member("a").peersPort())) {
            socket.getOutputStream().write(bytes);
        }
    }

    /** Returns a frame behind its length, with some bytes changed, cut short, or extended. */
    private static byte[] damaged(Random random) {
        List<Frame> frames =
                List.of(
                        Frame.newBuilder()
                                .setRaft(
                                        Raft.newBuilder()
                                                .setGroup("control")
                                                .setFrom(Replica.newBuilder().setHost("x"))
                                                .setTo(Replica.newBuilder().setHost("a"))
                                                .setVoteRequest(VoteRequest.getDefaultInstance()))
                                .build(),
                        Frame.newBuilder().setUpstream(UpstreamReport.getDefaultInstance()).build(),
                        Frame.newBuilder()
                                .setNeighbour(NeighbourReport.newBuilder().setHost("x"))
                                .build());
        byte[] whole = frames.get(random.nextInt(frames.size())).toByteArray();
        byte[] body = Arrays.copyOf(whole, 1 + random.nextInt(2 * whole.length + 8));
        body[random.nextInt(body.length)] = (byte) random.nextInt();
        return ByteBuffer.allocate(Integer.BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }
}
