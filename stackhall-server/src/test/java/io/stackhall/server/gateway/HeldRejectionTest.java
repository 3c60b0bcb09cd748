package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.RawHttp;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A request beyond a limit is held until a quorum has confirmed the limit. */
class HeldRejectionTest {

    private static final int UNAVAILABLE = 503;

    @TempDir private Path folder;

    // A stop closed the connection of a request that was held, instead of answering it.
    @Test
    void heldRequestIsAnsweredThoughIdleConnectionsAreClosed() throws Exception {
        try (LocalFleet fleet = new LocalFleet(folder)) {
            EntryDaemon entry = fleet.startEntry(1);
            try (Socket caller = fleet.callerOf(1)) {
                String request = RawHttp.get("/v1/x", "r1", "X-Trace: " + "t".repeat(60_000));
                caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                Thread.sleep(100);
                entry.loop().execute(entry.gateway().connections()::closeIdle);
                assertThat(RawHttp.read(caller.getInputStream(), true).status())
                        .isEqualTo(UNAVAILABLE);
            }
        }
    }
}
