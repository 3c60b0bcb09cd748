package io.stackhall.tests.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** Ports of tests while other tests run on the same machine. */
class PortsTest {

    @Test
    void portOnWhichAnotherRunsHostListensIsNotGivenOut() throws Exception {
        int port = Ports.free();
        InetAddress host = InetAddress.getByName("127.0.5.2");
        try (ServerSocket ofAnotherRun = new ServerSocket(port + 1, 1, host)) {
            assertThat(Ports.free()).isNotEqualTo(ofAnotherRun.getLocalPort());
        }
    }
}
