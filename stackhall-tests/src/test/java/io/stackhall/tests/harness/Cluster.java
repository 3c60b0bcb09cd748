package io.stackhall.tests.harness;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.ApplyRequest;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.OperatorsGrpc;
import io.stackhall.rpc.generated.operators.StatusReply;
import io.stackhall.rpc.generated.operators.StatusRequest;
import io.stackhall.server.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A system of real processes on loopback; every connection between hosts passes a proxy. */
public final class Cluster implements AutoCloseable {

    private static final long DEADLINE_SECONDS = 20;

    private final Path folder;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Map<String, FaultProxy> links = new TreeMap<>();
    private final Map<String, Integer> timing = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> limits = new TreeMap<>();
    private final List<Engine> engines = new ArrayList<>();
    private List<String> control = List.of();

    /** One entry host. */
    public static final class Member {
        final String name;
        final String zone;
        final boolean disk;
        final int peers = Ports.free();
        final int callers = Ports.free();
        final int upstreams = Ports.free();
        final int operators = Ports.free();
        private RunningProcess process;
        private ManagedChannel channel;

        Member(String name, String zone, boolean disk) {
            this.name = name;
            this.zone = zone;
            this.disk = disk;
        }

        /** Returns its process. */
        public RunningProcess process() {
            return process;
        }

        /** Returns its base address for callers. */
        public String url() {
            return "http://127.0.0.1:" + callers;
        }

        /** Returns the port on which other hosts speak to it, past the proxies. */
        public int peersPort() {
            return peers;
        }

        /** Returns the port on which operators call it. */
        public int operatorsPort() {
            return operators;
        }

        /** Returns the port on which upstreams announce themselves. */
        public int upstreamsPort() {
            return upstreams;
        }
    }

    /** Creates a system whose files are kept under a folder. */
    public Cluster(Path folder) {
        this.folder = folder;
        timing.put("orderLifetimeMillis", 3000);
        timing.put("upstreamSilenceMillis", 3000);
        timing.put("drainGraceMillis", 500);
    }

    /** Starts three hosts of one zone, which all keep the configuration. */
    public static Cluster threeHosts(Path folder) {
        return new Cluster(folder)
                .host("a", "plateau")
                .host("b", "plateau")
                .host("c", "plateau")
                .control("a", "b", "c")
                .start();
    }

    /** Adds an entry host with a disk. */
    public Cluster host(String name, String zone) {
        members.put(name, new Member(name, zone, true));
        return this;
    }

    /** Adds an entry host without a disk. */
    public Cluster diskless(String name, String zone) {
        members.put(name, new Member(name, zone, false));
        return this;
    }

    /** Names the hosts that keep the configuration. */
    public Cluster control(String... names) {
        control = List.of(names);
        return this;
    }

    /** Sets a time of coordination. */
    public Cluster timing(String key, int millis) {
        timing.put(key, millis);
        return this;
    }

    /** Sets a bound of one host, in force from its next start. */
    public void limit(String host, String key, int value) {
        limits.computeIfAbsent(host, name -> new LinkedHashMap<>()).put(key, value);
    }

    /**
     * Writes the settings, starts every host, and waits until all listen: a client of operators
     * that is refused comes again only after seconds.
     */
    public Cluster start() {
        for (Member from : members.values()) {
            for (Member to : members.values()) {
                if (from != to) {
                    links.put(from.name + ">" + to.name, new FaultProxy(to.peers));
                }
            }
        }
        members.keySet().forEach(this::startHost);
        for (Member member : members.values()) {
            Eventually.holds(member.name + " listens", () -> listens(member.operators));
        }
        return this;
    }

    private static boolean listens(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        }
    }

    /** Starts a host, again or for the first time. */
    public void startHost(String name) {
        Member member = members.get(name);
        Path file = folder.resolve(name + ".json");
        try {
            Files.createDirectories(folder);
            Files.write(file, Json.mapper().writeValueAsBytes(settings(member)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        member.process =
                RunningProcess.start(folder.resolve(name + ".log"), "serve", file.toString());
    }

    /** Deletes what a stopped host has kept. */
    public void wipe(String name) {
        try (Stream<Path> files = Files.walk(dataFolder(name))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns where a host keeps its files. */
    public Path dataFolder(String name) {
        return folder.resolve("data-" + name);
    }

    /** Returns a host. */
    public Member member(String name) {
        return members.get(name);
    }

    /** Returns the hosts' names. */
    public List<String> names() {
        return List.copyOf(members.keySet());
    }

    /** Returns the proxy on the way from one host to another. */
    public FaultProxy link(String from, String to) {
        return links.get(from + ">" + to);
    }

    /** Cuts a group of hosts off from all others in silence, or heals the cut. */
    public void cutOff(List<String> side, boolean cut) {
        links.forEach(
                (name, proxy) -> {
                    String[] ends = name.split(">", 2);
                    if (side.contains(ends[0]) != side.contains(ends[1])) {
                        proxy.silence(cut, cut);
                    }
                });
    }

    /** Has nothing that a host says reach any other, while it still hears them; or heals that. */
    public void mute(String name, boolean muted) {
        links.forEach(
                (link, proxy) -> {
                    String[] ends = link.split(">", 2);
                    if (ends[0].equals(name)) {
                        proxy.silence(muted, false);
                    } else if (ends[1].equals(name)) {
                        proxy.silence(false, muted);
                    }
                });
    }

    /** Returns the operators' calls of a host. */
    public OperatorsGrpc.OperatorsBlockingStub operators(String name) {
        Member member = members.get(name);
        if (member.channel == null) {
            member.channel =
                    NettyChannelBuilder.forAddress("127.0.0.1", member.operators)
                            .usePlaintext()
                            .build();
        }
        return OperatorsGrpc.newBlockingStub(member.channel)
                .withWaitForReady()
                .withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns what a host says of the system. */
    public StatusReply status(String name) {
        return operators(name).status(StatusRequest.getDefaultInstance());
    }

    /** Applies a deployment and waits until it is in force on every running host. */
    public long apply(String host, Deployment deployment) {
        ApplyReply reply =
                operators(host)
                        .apply(
                                ApplyRequest.newBuilder()
                                        .setDeployment(deployment)
                                        .setExpectedRevision(status(host).getRevision())
                                        .setChangeId("change-" + System.nanoTime())
                                        .setOperator("test")
                                        .build());
        if (reply.getOutcome() != ApplyReply.Outcome.ACCEPTED) {
            throw new AssertionError("not accepted: " + reply);
        }
        awaitRevision(reply.getRevision());
        return reply.getRevision();
    }

    /** Waits until a revision is in force on every running host. */
    public void awaitRevision(long revision) {
        for (Member member : members.values()) {
            if (member.process.alive()) {
                Eventually.holds(
                        "revision " + revision + " on " + member.name,
                        () -> status(member.name).getRevision() >= revision);
            }
        }
    }

    /** Starts a stand-in model engine that announces itself to the hosts of its zone. */
    public Engine engine(String id, String zone, String... options) {
        List<Integer> announceTo =
                members.values().stream()
                        .filter(member -> member.zone.equals(zone))
                        .map(Member::upstreamsPort)
                        .toList();
        Engine engine = new Engine(folder, id, zone, announceTo, List.of(options));
        engines.add(engine);
        return engine;
    }

    @Override
    public void close() {
        engines.forEach(Engine::close);
        for (Member member : members.values()) {
            if (member.channel != null) {
                member.channel.shutdownNow();
            }
            if (member.process != null && member.process.alive()) {
                member.process.thaw();
                member.process.kill();
            }
        }
        links.values().forEach(FaultProxy::close);
    }

    private Map<String, Object> settings(Member member) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("host", member.name);
        settings.put("zone", member.zone);
        if (member.disk) {
            settings.put("dataFolder", dataFolder(member.name).toString());
        }
        settings.put("peers", local(member.peers));
        settings.put("callers", local(member.callers));
        settings.put("upstreams", local(member.upstreams));
        settings.put("operators", local(member.operators));
        settings.put("hosts", members.values().stream().map(to -> hostEntry(member, to)).toList());
        settings.put("groups", Map.of("control", control, "zones", zoneGroups()));
        settings.put("timing", timing);
        settings.put("limits", limits.getOrDefault(member.name, Map.of()));
        return settings;
    }

    private Map<String, Object> hostEntry(Member from, Member to) {
        FaultProxy proxy = links.get(from.name + ">" + to.name);
        int port = proxy == null ? to.peers : proxy.port();
        return Map.of("host", to.name, "zone", to.zone, "peers", local(port));
    }

    /** A zone's own hosts keep its state, with a witness from elsewhere where they are two. */
    private Map<String, List<String>> zoneGroups() {
        Map<String, List<String>> groups = new TreeMap<>();
        members.values()
                .forEach(
                        member ->
                                groups.computeIfAbsent(member.zone, key -> new ArrayList<>())
                                        .add(member.name));
        groups.forEach(
                (zone, names) -> {
                    if (names.size() == 2) {
                        members.values().stream()
                                .filter(member -> !member.zone.equals(zone))
                                .findFirst()
                                .ifPresent(witness -> names.add(witness.name));
                    }
                });
        return groups;
    }

    private static String local(int port) {
        return "127.0.0.1:" + port;
    }
}
