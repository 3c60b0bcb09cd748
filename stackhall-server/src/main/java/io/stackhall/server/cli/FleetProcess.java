package io.stackhall.server.cli;

import io.stackhall.server.control.ControlDaemon;
import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.gateway.EntryDaemon;
import io.stackhall.server.settings.FleetSettings;
import io.stackhall.server.settings.ProcessSettings;
import io.stackhall.server.settings.SettingsReader;
import io.stackhall.server.training.WarmingEntryDaemon;
import java.io.IOException;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs a process whose settings name seeds, until it is told to stop. */
final class FleetProcess {

    private static final Logger logger = LogManager.getLogger(FleetProcess.class);

    private FleetProcess() {}

    static ExitCode run(FleetSettings settings, Path file, StopSignal stop, HangUpSignal hangUp) {
        try (FleetDaemon daemon = create(settings)) {
            if (!hangUp.available()) {
                logger.warn("signal.unavailable: settings are read at the start only");
            }
            hangUp.onSignal(() -> reload(daemon, file));
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
        } finally {
            LogManager.shutdown();
        }
        return ExitCode.OK;
    }

    private static FleetDaemon create(FleetSettings settings) throws IOException {
        return switch (settings.role()) {
            case FleetSettings.Entry entry ->
                    WarmingEntryDaemon.around(new EntryDaemon(settings, entry), settings);
            case FleetSettings.Control control ->
                    new ControlDaemon(settings, control, Main.ALIVE_SINCE);
        };
    }

    private static void reload(FleetDaemon daemon, Path file) {
        SettingsReader.readAny(file)
                .peek(next -> takeOver(daemon, next))
                .peekLeft(findings -> logger.error("settings.refused findings={}", findings));
    }

    private static void takeOver(FleetDaemon daemon, ProcessSettings next) {
        if (next instanceof FleetSettings fleet) {
            logger.info("settings.reloaded seeds={}", fleet.seeds());
            daemon.reload(fleet);
        } else {
            logger.error("settings.refused: they no longer name seeds");
        }
    }
}
