package io.stackhall.server.peer;

import java.time.Duration;

/**
 * When a connection between two hosts counts as lost.
 *
 * @param ping after this long without anything to send, a ping is sent
 * @param silence after this long without anything received, the connection is closed
 * @param connect after this long an attempt to connect is given up and made anew
 */
public record PeerTiming(Duration ping, Duration silence, Duration connect) {

    /** Checks that a ping and its answer fit into the silence. */
    public PeerTiming {
        if (ping.multipliedBy(2).compareTo(silence) > 0) {
            throw new IllegalArgumentException(
                    "ping " + ping + " must be at most half of the silence " + silence);
        }
    }

    /** Returns the times for hosts that are named in the settings. */
    public static PeerTiming standard() {
        return new PeerTiming(Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(1));
    }
}
