package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests and calls with a field line that is none of HTTP are refused. */
class MalformedRequestsTest extends RelayFixture {

    // A tolerant decoder takes another field out of such a line, and another length with it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X Note: a",
                "X-Note : a",
                "X-Note\t: a",
                "X-\u0000Note: a",
                "no colon",
                ": a",
                "X-Note: a\u0000",
                "Content-Length x: 5",
                "Content-Length : 5",
                "Transfer-Encoding x: chunked"
            })
    void malformedFieldIsRefused(String field) throws Exception {
        try (ScriptedUpstream upstream =
                upstream((request, to) -> to.plain(request, 200, "must not run"))) {
            String request = RawHttp.get("/once/x", "r1", "X-Deadline-Ms: 3000", field);
            assertThat(fleet.statusOf(1, request)).isEqualTo(400);
            assertThat(upstream.requests()).isEmpty();
        }
        assertThat(controlStatus(lines("GET /-/config HTTP/1.1", "Host: control", field, "")))
                .isEqualTo(400);
    }

    private int controlStatus(String call) throws IOException {
        try (Socket socket = fleet.controlCaller(1)) {
            return LocalFleet.exchange(socket, call).status();
        }
    }
}
