package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Requests whose target is a whole URI, as callers send them that take a host for a proxy. */
class AbsoluteTargetTest extends RelayFixture {

    // A proper request was answered 404 because its target named its host.
    @Test
    void absoluteTargetIsRoutedByItsAuthority() throws Exception {
        try (ScriptedUpstream upstream =
                        upstream((request, to) -> to.plain(request, 200, request.startLine()));
                Socket caller = fleet.callerOf(1)) {
            String get = request("GET http://a.example/safe/x?q=http://b/ HTTP/1.1");
            assertThat(LocalFleet.exchange(caller, get).text())
                    .isEqualTo("GET /safe/x?q=http://b/ HTTP/1.1");
            String post = request("POST HTTP://A.Example:8080/once/y HTTP/1.1");
            assertThat(LocalFleet.exchange(caller, post).text()).isEqualTo("POST /once/y HTTP/1.1");
            assertThat(upstream.requests())
                    .extracting(request -> request.header("host"))
                    .containsExactly("a.example", "A.Example:8080");
            awaitDenial("GET http://b.example/safe/x HTTP/1.1");
            assertThat(upstream.requests()).hasSize(2);
        }
    }

    @Test
    void targetThatIsNoneOfThisHostIsRejected() throws Exception {
        try (ScriptedUpstream upstream =
                upstream((request, to) -> to.plain(request, 200, "must not run"))) {
            assertThat(status("GET http://user@a.example/safe/x HTTP/1.1")).isEqualTo(400);
            assertThat(status("GET http:/safe/x HTTP/1.1")).isEqualTo(400);
            assertThat(status("CONNECT /safe/x HTTP/1.1")).isEqualTo(400);
            assertThat(status("GET https://a.example/safe/x HTTP/1.1")).isEqualTo(421);
            awaitDenial("OPTIONS * HTTP/1.1");
            awaitDenial("CONNECT a.example:80 HTTP/1.1");
            assertThat(upstream.requests()).isEmpty();
        }
    }

    /** A denial is a refusal until a quorum confirms the routes. */
    private void awaitDenial(String line) throws InterruptedException {
        LocalFleet.await("denied", () -> status(line) == 404);
    }

    private int status(String line) {
        return fleet.statusOf(1, request(line));
    }

    /** Returns a request whose Host header names another host than that of the routes. */
    private static String request(String line) {
        return lines(line, "Host: proxy.example", "X-Request-Id: " + line.hashCode(), "");
    }
}
