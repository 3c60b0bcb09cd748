package io.stackhall.server.cli;

import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineLogging;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.logging.log4j.Level;

/** The command line of the one binary. */
public final class Main {

    /** The version that runs. */
    public static final String VERSION = "0.1.0";

    /** Before the clock, whose first use takes so long that hang-ups would end the process. */
    private static final HangUpSignal HANG_UP = HangUpSignal.install();

    /** When this class was loaded, on the monotonic clock in nanoseconds. */
    static final long ALIVE_SINCE = BootClock.nanos();

    /** Names the level of logs as JSON lines on standard output; without it a file configures. */
    private static final String LINES_PROPERTY = "stackhall.lines";

    private static final String COMMAND = "command";
    private static final String SETTINGS_VARIABLE = "STACKHALL_SETTINGS";

    private Main() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        String lines = System.getProperty(LINES_PROPERTY);
        if (lines != null) {
            LineLogging.install(Level.toLevel(lines, Level.INFO));
        }
        ArgumentParser parser = parser();
        try {
            ExitCode code = run(parser.parseArgs(arguments));
            System.out.flush();
            System.exit(code.code());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(ExitCode.INVALID.code());
        }
    }

    private static ExitCode run(Namespace arguments) {
        return switch (arguments.getString(COMMAND)) {
            case "serve" -> ServeCommand.run(arguments, HANG_UP);
            case "check-settings" -> ServeCommand.check(arguments);
            case "stand-in" -> StandInCommand.run(arguments);
            case "demo-files" -> DemoFilesCommand.run(arguments);
            case "load" -> LoadCommand.run(arguments);
            case "compare" -> CompareCommand.run(arguments);
            case "explain" -> ExplainCommand.run(arguments);
            case RefusedRequestsCommand.NAME -> RefusedRequestsCommand.run(arguments);
            case UpstreamLimitsCommand.NAME -> UpstreamLimitsCommand.run(arguments);
            case "train" -> TrainCommand.run(arguments);
            case "version" -> version();
            default -> OperatorCommands.run(arguments.getString(COMMAND), arguments);
        };
    }

    private static ExitCode version() {
        System.out.println("stackhall " + VERSION);
        return ExitCode.OK;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("stackhall")
                        .build()
                        .defaultHelp(true)
                        .description("Serves many models on fewer accelerators.");
        Subparsers commands = parser.addSubparsers().dest(COMMAND).title("commands");
        Subparser serve = commands.addParser("serve").help("run one process of the system");
        serve.addArgument("settings")
                .nargs("?")
                .setDefault(System.getenv().getOrDefault(SETTINGS_VARIABLE, ""))
                .help("the settings file; left out, " + SETTINGS_VARIABLE + " names it");
        Subparser check =
                commands.addParser("check-settings").help("find all that is wrong with a file");
        check.addArgument("settings").help("the settings file");
        check.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        OperatorCommands.addTo(commands);
        StandInCommand.addTo(commands);
        DemoFilesCommand.addTo(commands);
        LoadCommand.addTo(commands);
        CompareCommand.addTo(commands);
        ExplainCommand.addTo(commands);
        RefusedRequestsCommand.addTo(commands);
        UpstreamLimitsCommand.addTo(commands);
        TrainCommand.addTo(commands);
        commands.addParser("version").help("print the version");
        return parser;
    }
}
