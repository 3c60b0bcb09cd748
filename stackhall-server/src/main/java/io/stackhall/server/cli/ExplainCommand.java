package io.stackhall.server.cli;

import io.stackhall.server.explain.LogLine;
import io.stackhall.server.explain.RequestStory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Prints what the logs of all processes say of one request. */
final class ExplainCommand {

    private ExplainCommand() {}

    static void addTo(Subparsers commands) {
        Subparser explain =
                commands.addParser("explain").help("print what logs say of one request");
        explain.addArgument("request").help("the request's id");
        explain.addArgument("logs").nargs("+").help("log files of the processes");
    }

    static ExitCode run(Namespace arguments) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : arguments.<String>getList("logs")) {
            try (Stream<String> text = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
                text.forEach(line -> LogLine.parse(file, line).ifPresent(lines::add));
            } catch (IOException e) {
                System.err.println("stackhall: " + file + " cannot be read: " + e.getMessage());
                return ExitCode.INVALID;
            }
        }
        List<LogLine> story = RequestStory.of(arguments.getString("request"), lines);
        if (story.isEmpty()) {
            System.err.println("stackhall: no line names this request");
            return ExitCode.FAILED;
        }
        story.forEach(System.out::println);
        return ExitCode.OK;
    }
}
