package io.stackhall.server.cli;

import io.stackhall.server.json.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Writes the settings of the demo's processes, on ports that are free now. */
final class DemoFilesCommand {

    private static final List<DemoHost> HOSTS =
            List.of(
                    new DemoHost("plateau-1", "plateau"),
                    new DemoHost("plateau-2", "plateau"),
                    new DemoHost("yoff-1", "yoff"));
    private static final int UPSTREAM_PORTS = 3;

    private DemoFilesCommand() {}

    /** One entry host of the demo. */
    private record DemoHost(String name, String zone) {}

    static void addTo(Subparsers commands) {
        commands.addParser("demo-files")
                .help("write the demo's settings files")
                .addArgument("folder")
                .help("where to write them");
    }

    static ExitCode run(Namespace arguments) {
        Path folder = Path.of(arguments.getString("folder"));
        try {
            Files.createDirectories(folder);
            write(folder);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("stackhall: cannot write to " + folder + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static void write(Path folder) throws IOException {
        List<Integer> ports = freePorts(HOSTS.size() * 4 + UPSTREAM_PORTS);
        List<Map<String, Object>> hosts = new ArrayList<>();
        StringBuilder environment = new StringBuilder();
        for (int at = 0; at < HOSTS.size(); at++) {
            hosts.add(
                    ordered(
                            "host", HOSTS.get(at).name(),
                            "zone", HOSTS.get(at).zone(),
                            "peers", local(ports.get(at * 4))));
        }
        List<String> all = HOSTS.stream().map(DemoHost::name).toList();
        Map<String, Object> groups =
                ordered("control", all, "zones", ordered("plateau", all, "yoff", all));
        for (int at = 0; at < HOSTS.size(); at++) {
            DemoHost host = HOSTS.get(at);
            Map<String, Object> settings =
                    ordered(
                            "host", host.name(),
                            "zone", host.zone(),
                            "dataFolder", folder.resolve("data-" + host.name()).toString(),
                            "peers", local(ports.get(at * 4)),
                            "callers", local(ports.get(at * 4 + 1)),
                            "upstreams", local(ports.get(at * 4 + 2)),
                            "operators", local(ports.get(at * 4 + 3)),
                            "hosts", hosts,
                            "groups", groups);
            Files.write(
                    folder.resolve(host.name() + ".json"),
                    Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(settings));
            String prefix = host.name().replace('-', '_');
            environment.append(prefix + "_callers=" + local(ports.get(at * 4 + 1)) + "\n");
            environment.append(prefix + "_upstreams=" + local(ports.get(at * 4 + 2)) + "\n");
            environment.append(prefix + "_operators=" + local(ports.get(at * 4 + 3)) + "\n");
        }
        for (int at = 0; at < UPSTREAM_PORTS; at++) {
            int port = ports.get(HOSTS.size() * 4 + at);
            environment.append("upstream_" + (at + 1) + "=" + local(port) + "\n");
        }
        Files.writeString(folder.resolve("env"), environment.toString(), StandardCharsets.UTF_8);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int at = 0; at < count; at++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    private static String local(int port) {
        return "127.0.0.1:" + port;
    }

    private static Map<String, Object> ordered(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int at = 0; at < keysAndValues.length; at += 2) {
            map.put((String) keysAndValues[at], keysAndValues[at + 1]);
        }
        return map;
    }
}
