package io.stackhall.server.fleet;

import io.stackhall.server.peer.PeerTiming;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.time.Duration;

/** An entry or control process; hosts discover each other through seeds. */
public interface FleetDaemon extends AutoCloseable {

    /**
     * A silent connection is pinged after 300 ms and replaced after 900 ms, so that a change still
     * arrives within two seconds. A connection attempt, for example to a host without power, is
     * repeated after 250 ms, which is sixty round trips: with 1,000 ms, hosts that started at the
     * same moment connected 1.0 to 1.2 s later (from the logs of one day).
     */
    PeerTiming PEER_TIMING =
            new PeerTiming(Duration.ofMillis(300), Duration.ofMillis(900), Duration.ofMillis(250));

    /**
     * Maximum wait for the threads of a closed process, in milliseconds; they end within
     * milliseconds once its connections are closed.
     */
    long CLOSE_TIMEOUT_MILLIS = 1500;

    /** Starts the process. */
    void start();

    /** Applies the settings that may change while the process runs. */
    void reload(FleetSettings settings);

    /** Stops without interrupting requests, and blocks until the process may be closed. */
    void drain();

    @Override
    void close() throws IOException;
}
