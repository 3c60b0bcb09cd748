package io.stackhall.server.cli;

import io.stackhall.core.config.Finding;
import io.stackhall.server.json.Json;
import io.stackhall.server.node.Daemon;
import io.stackhall.server.settings.FleetSettings;
import io.stackhall.server.settings.ProcessSettings;
import io.stackhall.server.settings.Settings;
import io.stackhall.server.settings.SettingsReader;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs a process of the system until it is told to stop. */
final class ServeCommand {

    private static final Logger logger = LogManager.getLogger(ServeCommand.class);

    private ServeCommand() {}

    /** Everything that is wrong with a file. */
    record Findings(List<Finding> findings) {}

    static ExitCode run(Namespace arguments, HangUpSignal hangUp) {
        Path file = Path.of(arguments.getString("settings"));
        Either<List<Finding>, ProcessSettings> settings = SettingsReader.readAny(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(finding -> System.err.println(finding));
            return ExitCode.INVALID;
        }
        StopSignal stop = StopSignal.install();
        return stop.finish(
                switch (settings.get()) {
                    case Settings named -> serve(named, stop);
                    case FleetSettings fleet -> FleetProcess.run(fleet, file, stop, hangUp);
                });
    }

    private static ExitCode serve(Settings settings, StopSignal stop) {
        try (Daemon daemon = new Daemon(settings, Main.VERSION)) {
            daemon.start();
            stop.await();
            daemon.drain();
        } catch (IOException | IllegalStateException e) {
            logger.fatal("daemon.failed {}", e.getMessage(), e);
            System.err.println("stackhall: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
        return ExitCode.OK;
    }

    static ExitCode check(Namespace arguments) {
        Either<List<Finding>, ProcessSettings> settings =
                SettingsReader.readAny(Path.of(arguments.getString("settings")));
        List<Finding> findings = settings.isLeft() ? settings.getLeft() : List.of();
        if (arguments.getBoolean("json")) {
            System.out.println(
                    new String(
                            Json.write(Findings.class, new Findings(findings)),
                            StandardCharsets.UTF_8));
        } else {
            findings.forEach(finding -> System.out.println(finding));
        }
        return findings.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
    }
}
