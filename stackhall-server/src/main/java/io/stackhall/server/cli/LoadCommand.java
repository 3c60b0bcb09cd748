package io.stackhall.server.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.stackhall.server.json.Json;
import io.stackhall.server.load.LoadDeployment;
import io.stackhall.server.load.LoadResult;
import io.stackhall.server.load.LoadRunner;
import io.stackhall.server.load.LoadShape;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eclipse.jetty.client.HttpClient;

/** Sends a user's traffic to a running system, or prints that user's deployment. */
final class LoadCommand {

    private static final int MAX_CONNECTIONS = 2048;

    private LoadCommand() {}

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser("load").help("send traffic and print what came of it as JSON");
        command.addArgument("--shape").setDefault("sahel").help("sahel or cordillera");
        command.addArgument("--urls").nargs("*").help("base addresses of entry hosts");
        command.addArgument("--deployment")
                .action(Arguments.storeTrue())
                .help("only print the deployment that the traffic needs");
        command.addArgument("--policy").setDefault("expected-gain").help("for --deployment");
        command.addArgument("--rate").type(Double.class).setDefault(40.0).help("requests a second");
        command.addArgument("--seconds").type(Double.class).setDefault(30.0).help("how long");
        command.addArgument("--seed").type(Long.class).setDefault(1L).help("of the traffic");
        command.addArgument("--service-deadline-millis").type(Long.class).setDefault(500L);
        command.addArgument("--model-deadline-millis").type(Long.class).setDefault(5000L);
        command.addArgument("--accelerators")
                .type(Integer.class)
                .setDefault(1)
                .help("how many serve, for the attainment per accelerator");
    }

    static ExitCode run(Namespace arguments) {
        LoadShape shape = LoadShape.of(arguments.getString("shape")).orElse(null);
        boolean deploymentOnly = arguments.getBoolean("deployment");
        if (shape == null || (!deploymentOnly && arguments.getList("urls") == null)) {
            System.err.println("stackhall: --shape must be known, and --urls given");
            return ExitCode.INVALID;
        }
        try {
            if (deploymentOnly) {
                System.out.println(
                        JsonFormat.printer()
                                .print(
                                        LoadDeployment.of(
                                                shape,
                                                arguments.getString("policy"),
                                                arguments.getLong("seed"))));
                return ExitCode.OK;
            }
            return send(arguments, shape);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a deployment can always be printed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private static ExitCode send(Namespace arguments, LoadShape shape) throws InterruptedException {
        LoadRunner.Options options =
                new LoadRunner.Options(
                        shape,
                        arguments.getDouble("rate"),
                        arguments.getDouble("seconds"),
                        arguments.getLong("seed"),
                        arguments.getLong("service_deadline_millis"),
                        arguments.getLong("model_deadline_millis"),
                        arguments.getInt("accelerators"));
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        try {
            client.start();
            LoadRunner runner = new LoadRunner(client, arguments.getList("urls"));
            LoadResult result =
                    runner.run(options, sent -> System.err.print("\rsent " + sent + " "));
            System.err.println();
            System.out.println(
                    new String(Json.write(LoadResult.class, result), StandardCharsets.UTF_8));
            client.stop();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            System.err.println("stackhall: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
