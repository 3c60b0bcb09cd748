package io.stackhall.server.cli;

import io.stackhall.server.settings.Address;
import io.stackhall.server.standin.StandIn;
import io.stackhall.server.standin.StandInOptions;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eclipse.jetty.client.HttpClient;

/** Runs a stand-in upstream until it is told to stop. */
final class StandInCommand {

    private StandInCommand() {}

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser("stand-in").help("run a stand-in upstream for trying things");
        command.addArgument("--id").required(true).help("its name");
        command.addArgument("--zone").required(true).help("its availability zone");
        command.addArgument("--address").required(true).help("where it listens, ip:port");
        command.addArgument("--advertise").help("the address that it announces, ip:port");
        command.addArgument("--announce-to")
                .nargs("+")
                .required(true)
                .help("where entry hosts listen for upstreams, ip:port");
        command.addArgument("--services").nargs("*").setDefault(List.of()).help("plain services");
        number(command, "--count", 1, "how many to run, on consecutive ports");
        number(command, "--memory-mib", 16_000, "accelerator memory, MiB");
        number(command, "--reserved-mib", 1000, "memory kept free for KV cache, MiB");
        number(command, "--slots", 8, "requests that it runs at once");
        number(command, "--load-millis", 300, "how long a load takes, ms");
        number(command, "--first-token-millis", 20, "time to the first token, ms");
        number(command, "--token-millis", 5, "time between tokens, ms");
        number(command, "--tokens", 8, "tokens of an answer");
        command.addArgument("--ignore-fencing")
                .action(Arguments.storeTrue())
                .help("carry out orders with old fencing numbers");
    }

    static ExitCode run(Namespace arguments) {
        StopSignal stop = StopSignal.install();
        HttpClient client = new HttpClient();
        try {
            client.start();
            List<StandIn> standIns = new ArrayList<>();
            for (int at = 0; at < arguments.getInt("count"); at++) {
                standIns.add(new StandIn(options(arguments, at), client));
                standIns.getLast().start();
            }
            stop.await();
            for (StandIn standIn : standIns) {
                standIn.leave();
                standIn.close();
            }
            client.stop();
            return stop.finish(ExitCode.OK);
        } catch (Exception e) {
            System.err.println("stackhall: " + e.getMessage());
            return stop.finish(ExitCode.FAILED);
        }
    }

    private static StandInOptions options(Namespace arguments, int at) {
        Address first = Address.parse(arguments.getString("address"));
        Address address = new Address(first.ip(), first.port() + at);
        String advertised = arguments.getString("advertise");
        return new StandInOptions(
                arguments.getString("id") + (at == 0 ? "" : "-" + at),
                arguments.getString("zone"),
                address,
                advertised == null ? address.toString() : advertised,
                arguments.<String>getList("announce_to").stream().map(Address::parse).toList(),
                arguments.getList("services"),
                arguments.getInt("memory_mib"),
                arguments.getInt("reserved_mib"),
                arguments.getInt("slots"),
                arguments.getInt("load_millis"),
                arguments.getInt("first_token_millis"),
                arguments.getInt("token_millis"),
                arguments.getInt("tokens"),
                !arguments.getBoolean("ignore_fencing"));
    }

    private static void number(Subparser command, String name, int otherwise, String help) {
        command.addArgument(name).type(Integer.class).setDefault(otherwise).help(help);
    }
}
