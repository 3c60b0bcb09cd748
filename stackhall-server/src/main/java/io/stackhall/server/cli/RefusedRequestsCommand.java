package io.stackhall.server.cli;

import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Lists the requests that are refused because instances end under them, or has one served again.
 */
final class RefusedRequestsCommand {

    static final String NAME = "refused-requests";

    private static final String PATH = "/-/refused-requests";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private RefusedRequestsCommand() {}

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser(NAME).help("list the requests that end instances, or lift one");
        command.addArgument("control").help("the address of a control host's calls, ip:port");
        command.addArgument("--lift")
                .metavar("DIGEST")
                .help("the request, as the logs name it, that is to be served again");
        command.addArgument("--operator")
                .setDefault(System.getProperty("user.name"))
                .help("who lifts it, for the log");
    }

    static ExitCode run(Namespace arguments) {
        Address control = Address.parse(arguments.getString("control"));
        String lifted = arguments.getString("lift");
        URI uri = URI.create("http://" + control + PATH + (lifted == null ? "" : "/" + lifted));
        HttpRequest.Builder call = HttpRequest.newBuilder(uri).timeout(TIMEOUT);
        if (lifted != null) {
            call.POST(HttpRequest.BodyPublishers.ofString(arguments.getString("operator")));
        }
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpResponse<String> answer =
                    client.send(call.build(), HttpResponse.BodyHandlers.ofString());
            System.out.println(answer.body());
            return answer.statusCode() == OK ? ExitCode.OK : ExitCode.FAILED;
        } catch (IOException e) {
            System.err.println("stackhall: " + control + " cannot be asked: " + e);
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }
}
