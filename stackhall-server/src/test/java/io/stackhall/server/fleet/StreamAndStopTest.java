package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Streams that break off or go on elsewhere, and what a host that stops still does. */
class StreamAndStopTest extends RelayFixture {

    @Test
    void streamThatBreaksOffDoesNotLookComplete() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.streamHead(request);
                    to.chunk("id: 1\ndata: a\n\nid: 2\nda");
                    pause(50);
                    to.reset();
                };
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream()
                    .write(get("/stream/x", "r1").getBytes(StandardCharsets.US_ASCII));
            InputStream in = caller.getInputStream();
            assertThat(RawHttp.readHead(in).status()).isEqualTo(200);
            assertThat(new String(RawHttp.chunk(in), StandardCharsets.US_ASCII))
                    .isEqualTo("id: 1\ndata: a\n\n");
            assertThatThrownBy(() -> RawHttp.chunk(in)).isInstanceOf(IOException.class);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    @Test
    void streamGoesOnElsewhereWithoutGapOrRepeat() throws Exception {
        ScriptedUpstream.Script first =
                (request, to) -> {
                    to.streamHead(request, "X-Server-Stamp: first");
                    to.chunk("id: 1\ndata: a\n\nid: 2\nda");
                    pause(50);
                    to.reset();
                };
        ScriptedUpstream.Script second =
                (request, to) -> {
                    to.streamHead(request, "X-Server-Stamp: second");
                    int from = Integer.parseInt("0" + request.header("last-event-id"));
                    for (int id = from + 1; id <= 3; id++) {
                        to.chunk("id: " + id + "\ndata: x\n\n");
                    }
                    to.chunk("");
                };
        ScriptedUpstream.Script script =
                (request, to) ->
                        (request.header("last-event-id").isEmpty() ? first : second)
                                .answer(request, to);
        try (ScriptedUpstream one = upstream("i-1", script);
                ScriptedUpstream two = upstream("i-2", script)) {
            RawHttp.Message answer = fleet.call(1, get("/resumed/x", "r1"));
            assertThat(answer.header("x-server-stamp")).isEqualTo("first");
            assertThat(answer.text())
                    .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
            assertThat(one.requests()).hasSize(1);
            assertThat(two.requests()).hasSize(1);
        }
    }

    @Test
    void streamThatEndsDuringAStopEndsItsConnection() throws Exception {
        CountDownLatch stopping = new CountDownLatch(1);
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.streamHead(request);
                    to.chunk("id: 1\ndata: a\n\n");
                    await(stopping);
                    to.chunk("id: 2\ndata: b\n\n");
                    to.chunk("");
                };
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream().write(ascii(get("/stream/x", "r1")));
            InputStream in = caller.getInputStream();
            RawHttp.readHead(in);
            assertThat(RawHttp.chunk(in)).isNotEmpty();
            Thread stop = Thread.startVirtualThread(entry::drain);
            LocalFleet.await("leaves the balancer", () -> !fleet.ready(1));
            stopping.countDown();
            assertThat(RawHttp.chunk(in)).isNotEmpty();
            assertThat(RawHttp.chunk(in)).isEmpty();
            assertThat(in.read()).isNegative();
            stop.join();
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    @Test
    void requestThatStillWaitsWhenItsHostStopsIsRefused() throws Exception {
        ScriptedUpstream.Script never = (request, to) -> {};
        try (ScriptedUpstream upstream = upstream(never)) {
            List<Socket> busy = new ArrayList<>();
            for (int count = 0; count < 8; count++) {
                busy.add(fleet.callerOf(1));
                busy.getLast().getOutputStream().write(ascii(get("/slow/x", "busy-" + count)));
            }
            LocalFleet.await("full", () -> upstream.requests().size() == 8);
            Socket caller = fleet.callerOf(1);
            caller.getOutputStream().write(ascii(get("/slow/x", "waits")));
            Thread stop = Thread.startVirtualThread(entry::drain);
            RawHttp.Message answer = RawHttp.read(caller.getInputStream(), true);
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("retry-after")).isNotEmpty();
            assertThat(upstream.requests()).hasSize(8);
            stop.join();
            for (Socket socket : busy) {
                socket.close();
            }
        }
    }
}
