import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: three zones, each with control and entry machines. */
final class Deployment implements AutoCloseable {

    static final List<String> ZONES = List.of("plateau", "yoff", "rufisque");

    final Record record;
    final Path scratch;
    final List<Node> core = new ArrayList<>();
    final List<Node> fronts = new ArrayList<>();
    private final Path root;
    private final int net = freeNet();
    private final int peers = freePort();
    private final int control = freePort();
    private final int front = freePort();
    private final int ready = freePort();

    Deployment(Path root, Record record, int frontsPerZone) throws IOException {
        this.root = root;
        this.record = record;
        this.scratch = Files.createTempDirectory("stackhall-review");
        for (int zone = 0; zone < ZONES.size(); zone++) {
            core.add(core(zone, 1));
            for (int i = 1; i <= frontsPerZone; i++) {
                fronts.add(front(zone, i));
            }
        }
    }

    /** Returns a loopback address of a zone; zones count from 1. */
    String ip(int zone, int host) {
        return "127." + net + "." + zone + "." + host;
    }

    /** Returns a control machine that is not started yet. */
    Node core(int zone, int number) {
        String ip = ip(zone + 1, 40 + number);
        Map<String, Object> fields = fields("core-" + ZONES.get(zone) + "-" + number, zone, ip);
        fields.put("listen", Map.of("control", ip + ":" + control));
        fields.put("loss-counts", true);
        fields.put("data-dir", scratch.resolve("data-" + zone + "-" + number).toString());
        fields.put("limits", Map.of("cpu-share", 0.9, "cores", 1, "memory-mb", 426, "max-fds", 4096));
        return new Node(root, scratch, (String) fields.get("node"), "control", fields, record);
    }

    private Node front(int zone, int number) {
        String ip = ip(zone + 1, 10 + number);
        Map<String, Object> fields = fields("front-" + ZONES.get(zone) + "-" + number, zone, ip);
        fields.put("listen", Map.of("front", ip + ":" + front, "ready", ip + ":" + ready));
        fields.put("loss-counts", false);
        fields.put("limits", Map.of("cpu-share", 0.75, "cores", 1, "memory-mb", 430, "max-fds", 4100));
        return new Node(root, scratch, (String) fields.get("node"), "entry", fields, record);
    }

    /** The fields of the settings as the page about deployment lists them, with the site's bounds. */
    private Map<String, Object> fields(String node, int zone, String ip) {
        Map<String, Object> fields = new HashMap<>();
        fields.put("node", node);
        fields.put("zone", ZONES.get(zone));
        fields.put("region", "dakar");
        fields.put("ip", ip);
        fields.put("internal-ports", List.of(peers, peers + 1));
        fields.put("seeds", seeds());
        fields.put("heartbeat-ms", 1200);
        fields.put("tolerate", Map.of("machines", 1, "zones", 1, "regions", 0));
        Map<String, Object> bounds = new HashMap<>();
        bounds.put("grace-s", 8);
        bounds.put("lease-ms", 3000);
        bounds.put("require-fencing", true);
        bounds.put("retry-budget-ratio", 0.2);
        bounds.put("budget-slack", 52);
        bounds.put("budget-window-s", 10);
        bounds.put("ceiling-window-s", 5);
        fields.put("bounds", bounds);
        return fields;
    }

    private List<String> seeds() {
        return Stream.of(1, 2, 3).map(zone -> ip(zone, 41) + ":" + control).toList();
    }

    /** Returns where the operator and the runners reach control: the seeds' list. */
    List<String> controls() {
        return seeds();
    }

    /** Starts every machine within 0.3 s, as at the very first start of the system. */
    void startAll() throws Exception {
        for (Node node : Stream.concat(core.stream(), fronts.stream()).toList()) {
            node.start(true);
        }
    }

    boolean awaitReady(double seconds) throws Exception {
        double until = record.now() + seconds;
        while (record.now() < until) {
            if (fronts.stream().allMatch(Node::isReady)) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        core.forEach(Node::end);
        fronts.forEach(Node::end);
        if (System.getenv("KEEP") != null) {
            System.out.println("kept: " + scratch);
            return;
        }
        try (Stream<Path> files = Files.walk(scratch)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /**
     * Every machine tells its figures at a fixed port, so that runs at a time need nets of their
     * own.
     */
    private static int freeNet() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int net = 64 + new Random().nextInt(128);
            boolean free = true;
            for (int zone = 1; zone <= ZONES.size(); zone++) {
                free &= isFree("127." + net + "." + zone + ".11", 9464);
                free &= isFree("127." + net + "." + zone + ".41", 9464);
            }
            if (free) {
                return net;
            }
        }
        throw new IOException("no loopback net is free");
    }

    /** Returns a port that no machine's address has taken, below those of outgoing connections. */
    private int freePort() throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = 12_000 + 2 * new Random().nextInt(9_000);
            boolean free = true;
            for (int zone = 1; zone <= ZONES.size(); zone++) {
                for (int host : List.of(11, 12, 41, 42)) {
                    free &= isFree(ip(zone, host), port) && isFree(ip(zone, host), port + 1);
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no port is free");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes the last lines of every process that has ended by itself. */
    void reportEnded() throws IOException {
        for (Node node : Stream.concat(core.stream(), fronts.stream()).toList()) {
            if (!node.alive()) {
                record.say("not running: " + node.name);
                node.lastLines(5).forEach(line -> record.say("  " + line));
            }
        }
    }
}
