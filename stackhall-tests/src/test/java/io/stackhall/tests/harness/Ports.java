package io.stackhall.tests.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Gives out ports that are free now and that it has not given out before. They lie below the range
 * from which the kernel takes the ports of outgoing connections, so that none of these takes one.
 */
final class Ports {

    private static final int FIRST = 10_000;
    private static final int PER_FORK = 7_000;
    private static final int FORKS = 3;
    private static final int BLOCK = 20;

    private static int next = firstOfFork();

    private Ports() {}

    static synchronized int free() {
        while (true) {
            int port = next++;
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Somebody has it: the next one, then.
            }
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
