package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.platform.RegistrationDecoder;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.peer.Replier;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A host that was out of touch when an upstream ended sends it no more requests. */
class MissedEndTest {

    private static final String ROUTES =
            """
            {"version":1,"routes":[
             {"name":"once","host":"a.example","path-prefix":"/once/","kind":"unsafe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}]}
            """;

    @TempDir private Path folder;
    private LocalFleet fleet;
    private volatile List<Instance> known = List.of();
    private volatile List<UpstreamId> gone = List.of();

    @BeforeEach
    void create() throws IOException {
        fleet = new LocalFleet(folder);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void upstreamThatAFullUpdateReportsAsGoneGetsNoMoreRequests() throws Exception {
        try (ScriptedUpstream upstream =
                new ScriptedUpstream("i-1", (request, to) -> to.plain(request, 200, "ok"))) {
            known = List.of(instance(upstream));
            try (FakePeer control = new FakePeer(fleet.peers("127.0.3.1"), this::answer)) {
                fleet.startEntry(1);
                LocalFleet.await("served", () -> fleet.statusOf(1, request()) == 200);
                assertThat(control.received()).isNotEmpty();
            }
            known = List.of();
            gone = List.of(new UpstreamId("i-1", UpstreamId.START_UNKNOWN));
            try (FakePeer control = new FakePeer(fleet.peers("127.0.3.1"), this::answer)) {
                LocalFleet.await("refused", () -> fleet.statusOf(1, request()) == 503);
                int before = upstream.requests().size();
                assertThat(fleet.statusOf(1, request())).isEqualTo(503);
                assertThat(upstream.requests()).hasSize(before);
                assertThat(control.received()).isNotEmpty();
            }
        }
    }

    private void answer(Frame frame, Replier replier) {
        if (!frame.hasFleetFollow()) {
            return;
        }
        replier.send(InstanceCodec.fullFrame(known, gone, 1));
        RoutesUpdate.Builder routes =
                RoutesUpdate.newBuilder()
                        .setVersion(1)
                        .setBody(ByteString.copyFrom(ROUTES, StandardCharsets.UTF_8))
                        .setConfirmed(true)
                        .setAskedAt(frame.getFleetFollow().getAskedAt());
        replier.send(Frame.newBuilder().setRoutes(routes).build());
    }

    private static Instance instance(ScriptedUpstream upstream) {
        return RegistrationDecoder.decode(
                        upstream.id(),
                        upstream.heartbeat("plain", "ready", 1, "[]")
                                .getBytes(StandardCharsets.UTF_8))
                .get();
    }

    private static String request() {
        return RawHttp.get("/once/x", "r1", "X-Deadline-Ms: 400");
    }
}
