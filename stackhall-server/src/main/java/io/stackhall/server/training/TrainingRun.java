package io.stackhall.server.training;

import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.platform.Calls;
import io.stackhall.platform.TrainingMessages;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.control.ControlDaemon;
import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.gateway.EntryDaemon;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Runs a control host and an entry host in this process, on loopback addresses of their own, and
 * sends a few requests through them to an upstream of its own.
 *
 * <p>A build runs it once to record the classes of a start into a class-data archive. With the
 * archive an entry host takes 0.98 s of processor time until it listens instead of 2.19 s (medians
 * of three and five starts, beside other load).
 */
public final class TrainingRun implements AutoCloseable {

    private static final String CONTROL_IP = "127.0.0.2";
    private static final String ENTRY_IP = "127.0.0.3";
    private static final ZoneId ZONE = new ZoneId("training");

    /** A start and an election take about a second where nothing is in the archive yet. */
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final Duration ROUTES_STALENESS = Duration.ofSeconds(2);
    private static final Duration KEY_REVOCATION = Duration.ofSeconds(5);
    private static final Duration HEARTBEAT = Duration.ofMillis(300);

    private final Address controlApi = new Address(CONTROL_IP, freePort(CONTROL_IP));
    private final Address callers = new Address(ENTRY_IP, freePort(ENTRY_IP));
    private final Address readiness = new Address(ENTRY_IP, freePort(ENTRY_IP));
    private final int peerPort = freePort(ENTRY_IP);
    private final TrainingUpstream upstream = new TrainingUpstream();
    private final FleetDaemon control;
    private final FleetDaemon entry;

    /**
     * Creates the hosts; nothing runs yet.
     *
     * @param folder where the control host keeps its state
     * @throws IOException if the folder cannot be used, or no port is free
     */
    public TrainingRun(Path folder) throws IOException {
        FleetSettings.Control controlRole = new FleetSettings.Control(controlApi, folder);
        control =
                new ControlDaemon(
                        settings("control", CONTROL_IP, controlRole),
                        controlRole,
                        BootClock.nanos());
        FleetSettings.Entry entryRole = new FleetSettings.Entry(callers, readiness);
        entry = new EntryDaemon(settings("entry", ENTRY_IP, entryRole), entryRole);
    }

    /**
     * Runs the warm-up of an entry host, starts the hosts, has a request of each kind served, and
     * returns.
     *
     * @throws IOException if a call fails, or something does not come within its time
     */
    public void run() throws IOException, InterruptedException {
        warmUp();
        control.start();
        entry.start();
        await("configuration", controlApi, put());
        await("readiness", readiness, TrainingCalls.get(Calls.READINESS));
        await("heartbeat", controlApi, heartbeat());
        await("configuration read", controlApi, TrainingCalls.get(Calls.READ_CONFIGURATION));
        await("plain answer", callers, plainRequest());
        await("stream", callers, streamRequest());
    }

    @Override
    public void close() throws IOException {
        entry.close();
        control.close();
        upstream.close();
    }

    private static void warmUp() throws IOException {
        WarmUp warmUp = new WarmUp(1);
        warmUp.start();
        if (!warmUp.awaitEnd(PATIENCE)) {
            warmUp.end();
            throw new IOException("the warm-up did not end within " + PATIENCE);
        }
        if (warmUp.failure().isPresent()) {
            throw new IOException("the warm-up failed", warmUp.failure().get());
        }
    }

    private static String put() {
        return TrainingCalls.post(Calls.PUT_CONFIGURATION, TrainingMessages.CONFIGURATION);
    }

    private String heartbeat() {
        return TrainingCalls.post(
                TrainingMessages.HEARTBEAT_PATH,
                TrainingMessages.heartbeat(upstream.address(), BootClock.nanos()));
    }

    private static String plainRequest() {
        return TrainingCalls.get(
                TrainingMessages.PLAIN_TARGET, TrainingMessages.plainHeaders("plain"));
    }

    private static String streamRequest() {
        return TrainingCalls.get(
                TrainingMessages.STREAM_TARGET, TrainingMessages.modelHeaders("stream"));
    }

    private FleetSettings settings(String name, String ip, FleetSettings.Role role) {
        return new FleetSettings(
                new HostId(name),
                ZONE,
                role,
                new Address(ip, peerPort),
                List.of(controlApi),
                true,
                new FleetSettings.Limits(
                        HEARTBEAT,
                        Duration.ofSeconds(1),
                        Duration.ZERO,
                        true,
                        0,
                        0,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(5),
                        0,
                        Optional.of(KEY_REVOCATION),
                        ROUTES_STALENESS,
                        new LimitTolerance(Duration.ofSeconds(8), 0, 0),
                        1),
                Optional.empty());
    }

    /** Repeats a call until it succeeds: the hosts may not have found each other yet. */
    private static void await(String what, Address address, String request)
            throws IOException, InterruptedException {
        long deadline = BootClock.nanos() + PATIENCE.toNanos();
        int status = TrainingCalls.status(address, request);
        while (status != TrainingCalls.OK) {
            if (BootClock.nanos() - deadline > 0) {
                throw new IOException(what + " not seen in " + PATIENCE + ": status " + status);
            }
            Thread.sleep(PAUSE);
            status = TrainingCalls.status(address, request);
        }
    }

    private static int freePort(String ip) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException("no port is free at " + ip, e);
        }
    }
}
