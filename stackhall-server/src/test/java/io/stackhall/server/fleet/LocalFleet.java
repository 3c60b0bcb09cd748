package io.stackhall.server.fleet;

import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.control.ControlDaemon;
import io.stackhall.server.gateway.EntryDaemon;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/** Control and entry hosts of one system, each on a loopback address of its own. */
public final class LocalFleet implements AutoCloseable {

    private static final int CALLERS_OFFSET = 1;
    private static final int READINESS_OFFSET = 2;
    private static final int API_OFFSET = 3;
    private static final int LOWEST_PORT = 20_000;
    private static final int PORT_STEP = 4;
    private static final int PORT_STEPS = 3000;

    /** Within which time of its acknowledgement a key that was taken away ends everywhere. */
    public static final Duration KEY_REVOCATION = Duration.ofSeconds(3);

    /** How old an active configuration may be that a host denies requests by. */
    public static final Duration ROUTES_STALENESS = Duration.ofSeconds(2);

    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final Path folder;
    private final Optional<Duration> keyRevocation;
    private final int port = freePorts();
    private final List<FleetDaemon> daemons = new ArrayList<>();
    private final UpstreamLinks links = new UpstreamLinks();
    private final List<Address> seeds =
            List.of(api("127.0.3.1"), api("127.0.3.2"), api("127.0.3.3"));

    /** Creates a system whose replicas keep their state under a folder. */
    public LocalFleet(Path folder) throws IOException {
        this(folder, Optional.of(KEY_REVOCATION));
    }

    /**
     * Creates a system whose hosts may rely on keys for a time, without limit where it is empty.
     */
    LocalFleet(Path folder, Optional<Duration> keyRevocation) throws IOException {
        this.folder = folder;
        this.keyRevocation = keyRevocation;
    }

    /** Returns the links of hosts to upstreams and to control hosts. */
    public UpstreamLinks links() {
        return links;
    }

    /** Starts three control hosts for the first time, and returns them. */
    public List<ControlDaemon> foundControl() throws IOException {
        List<ControlDaemon> started = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            started.add(startControl(number, true));
        }
        return started;
    }

    /** Starts one control host, which lives at 127.0.3.number. */
    public ControlDaemon startControl(int number, boolean firstStart) throws IOException {
        String ip = "127.0.3." + number;
        FleetSettings.Control control =
                new FleetSettings.Control(api(ip), folder.resolve("control-" + number));
        ControlDaemon daemon =
                new ControlDaemon(
                        settings("control-" + number, ip, control, firstStart, 1),
                        control,
                        BootClock.nanos(),
                        () -> links.openChannel(0, ip));
        daemon.start();
        daemons.add(daemon);
        return daemon;
    }

    /** Starts one entry host, which lives at 127.0.4.number and calls upstreams from there. */
    public EntryDaemon startEntry(int number) {
        return startEntry(number, 1);
    }

    /** Sends a configuration to the first control host; returns the status, 0 if none came. */
    public int put(String configuration) {
        try {
            return control(1, "POST", "/-/config/put", configuration).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the status of an entry host's answer to a request, 0 if none came. */
    public int statusOf(int entry, String request) {
        try {
            return call(entry, request).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Starts one entry host that may use only a share of a core. */
    public EntryDaemon startEntry(int number, double processorShare) {
        EntryDaemon daemon = createEntry(number, processorShare);
        start(daemon);
        return daemon;
    }

    /** Starts a process of this system that was not started yet. */
    public void start(FleetDaemon daemon) {
        daemon.start();
        daemons.add(daemon);
    }

    /** Creates one entry host, which is to live at 127.0.4.number. */
    public EntryDaemon createEntry(int number) {
        return createEntry(number, 1);
    }

    private EntryDaemon createEntry(int number, double processorShare) {
        String ip = "127.0.4." + number;
        FleetSettings.Entry entry =
                new FleetSettings.Entry(
                        new Address(ip, port + CALLERS_OFFSET),
                        new Address(ip, port + READINESS_OFFSET));
        return new EntryDaemon(
                settings("entry-" + number, ip, entry, true, processorShare),
                entry,
                () -> links.openChannel(number, ip));
    }

    /** Returns where a process at an address talks to other hosts. */
    Address peers(String ip) {
        return new Address(ip, port);
    }

    /** Ends one process as a kill would, as far as others see. */
    public void stop(FleetDaemon daemon) throws IOException {
        daemons.remove(daemon);
        daemon.close();
    }

    /** Ends all processes, and starts the control hosts and the first entry host again. */
    public void restartAll() throws IOException {
        restartControl();
        startEntry(1);
    }

    /** Ends all processes, and starts the control hosts again. */
    void restartControl() throws IOException {
        for (FleetDaemon daemon : List.copyOf(daemons)) {
            stop(daemon);
        }
        for (int number = 1; number <= 3; number++) {
            startControl(number, false);
        }
    }

    /** Opens a caller's connection to an entry host. */
    public Socket callerOf(int number) throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout((int) PATIENCE.toMillis());
        socket.connect(new InetSocketAddress("127.0.4." + number, port + CALLERS_OFFSET));
        return socket;
    }

    /** Sends a request to an entry host on a new connection and reads the answer. */
    public RawHttp.Message call(int number, String request) throws IOException {
        try (Socket socket = callerOf(number)) {
            return exchange(socket, request);
        }
    }

    /** Opens the connection of an operator or upstream to a control host. */
    public Socket controlCaller(int number) throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout((int) PATIENCE.toMillis());
        socket.connect(new InetSocketAddress("127.0.3." + number, port + API_OFFSET));
        return socket;
    }

    /** Sends a call to a control host and reads the answer. */
    public RawHttp.Message control(int number, String method, String path, String body)
            throws IOException {
        try (Socket socket = controlCaller(number)) {
            return exchange(
                    socket,
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: control\r\nContent-Length: "
                            + body.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + body);
        }
    }

    /** Sends one heartbeat of an upstream to a control host. */
    public void heartbeat(int number, ScriptedUpstream upstream, String body) throws IOException {
        RawHttp.Message answer =
                control(number, "POST", "/-/instances/" + upstream.id() + "/heartbeat", body);
        if (answer.status() != 200) {
            throw new IOException("heartbeat refused: " + answer.text());
        }
    }

    /** Returns whether an entry host says that it is ready. */
    public boolean ready(int number) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout((int) PATIENCE.toMillis());
            socket.connect(new InetSocketAddress("127.0.4." + number, port + READINESS_OFFSET));
            return exchange(socket, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n").status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until something holds. */
    public static void await(String what, BooleanSupplier holds) throws InterruptedException {
        long deadline = BootClock.nanos() + PATIENCE.toNanos();
        while (!holds.getAsBoolean()) {
            if (BootClock.nanos() - deadline > 0) {
                throw new AssertionError("not seen within " + PATIENCE + ": " + what);
            }
            Thread.sleep(10);
        }
    }

    /** Sends bytes and reads one answer. */
    public static RawHttp.Message exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return RawHttp.read(socket.getInputStream(), true);
    }

    @Override
    public void close() throws IOException {
        for (FleetDaemon daemon : daemons) {
            daemon.close();
        }
        links.close();
    }

    private FleetSettings settings(
            String name,
            String ip,
            FleetSettings.Role role,
            boolean firstStart,
            double processorShare) {
        return new FleetSettings(
                new HostId(name),
                new ZoneId("plateau"),
                role,
                new Address(ip, port),
                seeds,
                firstStart,
                new FleetSettings.Limits(
                        Duration.ofMillis(1200),
                        Duration.ofSeconds(6),
                        Duration.ofMillis(500),
                        true,
                        0.2,
                        50,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(5),
                        1,
                        keyRevocation,
                        ROUTES_STALENESS,
                        new LimitTolerance(Duration.ofSeconds(8), 0.1, 2),
                        processorShare),
                Optional.empty());
    }

    private Address api(String ip) {
        return new Address(ip, port + API_OFFSET);
    }

    /** Picks four ports that are free on one address; others of these tests draw other ones. */
    private static int freePorts() {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            int candidate = LOWEST_PORT + PORT_STEP * random.nextInt(PORT_STEPS);
            if (IntStream.range(candidate, candidate + PORT_STEP).allMatch(LocalFleet::free)) {
                return candidate;
            }
        }
        throw new IllegalStateException("no free ports drawn in 100 tries");
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.3.1"), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
