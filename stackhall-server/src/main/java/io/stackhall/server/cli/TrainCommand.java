package io.stackhall.server.cli;

import io.stackhall.server.training.TrainingRun;
import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Runs both roles briefly, for a build that records which classes a start loads. */
final class TrainCommand {

    private TrainCommand() {}

    static void addTo(Subparsers commands) {
        commands.addParser("train")
                .help("run both roles for some seconds, to record what a start loads")
                .addArgument("folder")
                .help("an empty folder for the control host's state");
    }

    static ExitCode run(Namespace arguments) {
        try (TrainingRun run = new TrainingRun(Path.of(arguments.getString("folder")))) {
            run.run();
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("stackhall: the training run failed: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }
}
