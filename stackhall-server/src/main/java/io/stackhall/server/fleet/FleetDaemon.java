package io.stackhall.server.fleet;

import io.stackhall.server.peer.PeerTiming;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.time.Duration;

/** A process of a system whose hosts find each other through seeds. */
public interface FleetDaemon extends AutoCloseable {

    /**
     * A connection that has fallen silent is replaced within this, so that a change still gets
     * through in two seconds. An attempt to connect that went to a host without power is made anew
     * after 250 ms, sixty times the way there and back: with 1,000 ms, hosts that came up at the
     * same moment found each other 1.0 to 1.2 s later (one day, from the logs).
     */
    PeerTiming PEER_TIMING =
            new PeerTiming(Duration.ofMillis(300), Duration.ofMillis(900), Duration.ofMillis(250));

    /** Its threads end within milliseconds once its connections are closed. */
    long CLOSE_TIMEOUT_MILLIS = 1500;

    /** Starts to work. */
    void start();

    /** Takes over settings that may change while the process runs. */
    void reload(FleetSettings settings);

    /** Leaves without cutting a request; returns when it may end. */
    void drain();

    @Override
    void close() throws IOException;
}
