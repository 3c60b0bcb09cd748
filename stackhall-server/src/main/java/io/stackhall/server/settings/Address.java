package io.stackhall.server.settings;

import java.net.InetSocketAddress;

/**
 * An IP number and a port.
 *
 * @param ip the IP number, as text
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {

    private static final int HIGHEST_PORT = 65_535;

    /** Checks the parts. */
    public Address {
        if (!ip.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
            throw new IllegalArgumentException("'" + ip + "' is not an IP number");
        }
        if (port < 1 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException("port " + port + " is not in 1 to " + HIGHEST_PORT);
        }
    }

    /** Parses {@code ip:port}. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
        }
        try {
            return new Address(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' has no port number", e);
        }
    }

    /** Returns the socket address. */
    public InetSocketAddress socket() {
        return new InetSocketAddress(ip.replace("[", "").replace("]", ""), port);
    }

    /** Returns whether it is on the loopback interface. */
    public boolean loopback() {
        return socket().getAddress().isLoopbackAddress();
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
