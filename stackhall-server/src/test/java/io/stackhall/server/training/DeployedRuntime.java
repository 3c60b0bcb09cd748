package io.stackhall.server.training;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs the virtual machine with the options that the processes of a deployment have. */
final class DeployedRuntime {

    private static final Path DEPLOYMENT = Path.of("..", "deploy", "system.toml");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private DeployedRuntime() {}

    /** Returns the options that a role runs with, without its archive. */
    static List<String> options(String role) throws IOException {
        String run =
                Files.readAllLines(DEPLOYMENT).stream()
                        .dropWhile(line -> !line.equals("[roles." + role + "]"))
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return Stream.of(run.split("[ \"]"))
                .filter(word -> word.startsWith("-X"))
                .filter(word -> !word.startsWith("-XX:SharedArchiveFile"))
                .toList();
    }

    /** Runs the virtual machine to its end, and returns what it has printed. */
    static String run(List<String> arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(arguments);
        Path log = Files.createTempFile("runtime", ".log");
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start();
            assertThat(process.waitFor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            return Files.readString(log, StandardCharsets.UTF_8);
        } finally {
            Files.delete(log);
        }
    }
}
