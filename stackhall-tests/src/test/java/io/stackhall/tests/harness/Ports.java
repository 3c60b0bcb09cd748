package io.stackhall.tests.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Gives out ports that are free on every address, and claims each until this process ends, so that
 * tests of two checkouts may run at once. They lie below the range from which the kernel takes the
 * ports of outgoing connections, so that none of these takes one.
 */
final class Ports {

    private static final int FIRST = 10_000;
    private static final int PER_FORK = 7_000;
    private static final int FORKS = 3;
    private static final int BLOCK = 20;

    /** An address on which no host of a test listens. */
    private static final String CLAIM_ADDRESS = "127.0.9.1";

    private static final List<ServerSocket> CLAIMED = new ArrayList<>();
    private static int next = firstOfFork();

    private Ports() {}

    static synchronized int free() {
        while (true) {
            int port = next++;
            if (freeOnAllAddresses(port) && claim(port)) {
                return port;
            }
        }
    }

    /** The hosts of a test live on addresses of their own, where another run's may listen. */
    private static boolean freeOnAllAddresses(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean claim(int port) {
        try {
            CLAIMED.add(new ServerSocket(port, 1, InetAddress.getByName(CLAIM_ADDRESS)));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the first port of a block for several upstreams in one process. */
    static synchronized int freeBlock() {
        int first = free();
        next += BLOCK;
        return first;
    }

    private static int firstOfFork() {
        int fork = Integer.getInteger("stackhall.fork", 0) % FORKS;
        return FIRST + PER_FORK * fork;
    }
}
