package io.stackhall.server.cli;

import io.stackhall.server.control.OperatorPaths;
import io.stackhall.server.settings.Address;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Lists the limits that upstreams name, and the upstreams that leave. */
final class UpstreamLimitsCommand {

    static final String NAME = "upstream-limits";

    private UpstreamLimitsCommand() {}

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser(NAME)
                        .help("list the limits that upstreams have named, and those that leave");
        command.addArgument("control").help("the address of a control host's calls, ip:port");
    }

    static ExitCode run(Namespace arguments) {
        return new OperatorCall(Address.parse(arguments.getString("control")))
                .get(OperatorPaths.UPSTREAM_LIMITS);
    }
}
