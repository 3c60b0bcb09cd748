import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One machine of the system with its one process, started as the deploy file says. */
final class Node {

    final String name;
    final String ip;
    final Map<String, Object> fields;
    private final Path root;
    private final String role;
    private final Path settings;
    private final Path log;
    private final Record record;
    private Process process;

    Node(Path root, Path scratch, String name, String role, Map<String, Object> fields, Record record) {
        this.root = root;
        this.name = name;
        this.role = role;
        this.ip = (String) fields.get("ip");
        this.fields = new HashMap<>(fields);
        this.settings = scratch.resolve(name + ".json");
        this.log = scratch.resolve(name + ".log");
        this.record = record;
    }

    String control() {
        return (String) ((Map<?, ?>) fields.get("listen")).get("control");
    }

    String front() {
        return (String) ((Map<?, ?>) fields.get("listen")).get("front");
    }

    String ready() {
        return (String) ((Map<?, ?>) fields.get("listen")).get("ready");
    }

    /** Starts the process with the settings of this moment. */
    void start(boolean bootstrap) throws IOException {
        fields.put("bootstrap", bootstrap);
        String template = Files.readString(root.resolve("platform/settings.template"));
        Files.writeString(settings, Template.fill(template, fields));
        ProcessBuilder builder = new ProcessBuilder(runLine(root, role));
        builder.directory(root.toFile());
        builder.environment().put("STACKHALL_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        record.line("machine " + name + " starts, bootstrap=" + bootstrap + " pid=" + process.pid());
    }

    void kill() throws Exception {
        record.line("machine " + name + ": SIGKILL");
        process.destroyForcibly();
        process.waitFor();
    }

    void signal(String name) throws Exception {
        record.line("machine " + this.name + ": SIG" + name);
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    boolean isReady() {
        try {
            return Http.call(ready(), "GET", "/-/readiness", Map.of(), new byte[0], 1000).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    List<String> lastLines(int count) throws IOException {
        List<String> all = Files.exists(log) ? Files.readAllLines(log) : List.of();
        return all.subList(Math.max(0, all.size() - count), all.size());
    }

    /** Ends the process, whatever state it is in. */
    void end() {
        if (alive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static List<String> runLine(Path root, String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(words.split(" ")));
            }
        }
        throw new IOException("no role " + role + " in the deploy file");
    }
}
