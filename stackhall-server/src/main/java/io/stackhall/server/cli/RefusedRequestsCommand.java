package io.stackhall.server.cli;

import io.stackhall.server.control.OperatorPaths;
import io.stackhall.server.settings.Address;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Lists the requests and parts of prompts that are refused because they crash instances, or has one
 * served again.
 */
final class RefusedRequestsCommand {

    static final String NAME = "refused-requests";

    private RefusedRequestsCommand() {}

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser(NAME).help("list the requests that end instances, or lift one");
        command.addArgument("control").help("the address of a control host's calls, ip:port");
        command.addArgument("--lift")
                .metavar("DIGEST")
                .help("the request or prompt part to serve again, as named in the logs");
        command.addArgument("--operator")
                .setDefault(System.getProperty("user.name"))
                .help("who lifts it, for the log");
    }

    static ExitCode run(Namespace arguments) {
        OperatorCall call = new OperatorCall(Address.parse(arguments.getString("control")));
        String lifted = arguments.getString("lift");
        return lifted == null
                ? call.get(OperatorPaths.REFUSED_REQUESTS)
                : call.post(OperatorPaths.refusedRequest(lifted), arguments.getString("operator"));
    }
}
