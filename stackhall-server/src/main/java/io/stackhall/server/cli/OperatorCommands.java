package io.stackhall.server.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.stackhall.rpc.generated.operators.ApplyReply;
import io.stackhall.rpc.generated.operators.ApplyRequest;
import io.stackhall.rpc.generated.operators.AuditRequest;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.DrainRequest;
import io.stackhall.rpc.generated.operators.OperatorsGrpc;
import io.stackhall.rpc.generated.operators.RemoveReplicaReply;
import io.stackhall.rpc.generated.operators.RemoveReplicaRequest;
import io.stackhall.rpc.generated.operators.StatusRequest;
import io.stackhall.rpc.generated.operators.UpstreamsRequest;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The commands that call a running system. */
final class OperatorCommands {

    private static final long DEADLINE_SECONDS = 15;
    private static final String DEFAULT_ADDRESS = "127.0.0.1:9100";

    private OperatorCommands() {}

    static void addTo(Subparsers commands) {
        Subparser apply = add(commands, "apply", "replace the deployment");
        apply.addArgument("file").help("the deployment, as JSON of the operators' schema");
        apply.addArgument("--expected-revision")
                .type(Long.class)
                .help("the revision that the change was made from; the present one by default");
        changeArguments(apply);
        Subparser drain = add(commands, "drain", "give an upstream no new work");
        drain.addArgument("upstream").help("its name");
        drain.addArgument("--undo").action(Arguments.storeTrue()).help("give it work again");
        changeArguments(drain);
        add(commands, "status", "show what is in force where, and the groups");
        add(commands, "upstreams", "show the upstreams of the host's zone");
        add(commands, "audit", "show the audit trail of changes");
        Subparser remove = add(commands, "remove-replica", "take a host out of a group");
        remove.addArgument("group").help("as status names it");
        remove.addArgument("host").help("whose replica to remove");
    }

    static ExitCode run(String command, Namespace arguments) {
        Address address = Address.parse(arguments.getString("operators"));
        ManagedChannel channel =
                NettyChannelBuilder.forAddress(address.socket()).usePlaintext().build();
        try {
            OperatorsGrpc.OperatorsBlockingStub stub =
                    OperatorsGrpc.newBlockingStub(channel)
                            .withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS);
            return run(command, arguments, stub);
        } catch (StatusRuntimeException e) {
            System.err.println("stackhall: " + e.getStatus().getDescription());
            return ExitCode.FAILED;
        } catch (InvalidProtocolBufferException e) {
            System.err.println("stackhall: not a deployment: " + e.getMessage());
            return ExitCode.INVALID;
        } catch (IOException e) {
            System.err.println("stackhall: cannot read: " + e.getMessage());
            return ExitCode.INVALID;
        } finally {
            channel.shutdownNow();
        }
    }

    private static ExitCode run(
            String command, Namespace arguments, OperatorsGrpc.OperatorsBlockingStub stub)
            throws IOException {
        return switch (command) {
            case "apply" -> apply(arguments, stub);
            case "drain" -> drain(arguments, stub);
            case "status" -> print(arguments, stub.status(StatusRequest.getDefaultInstance()));
            case "upstreams" ->
                    print(arguments, stub.upstreams(UpstreamsRequest.getDefaultInstance()));
            case "audit" -> print(arguments, stub.audit(AuditRequest.getDefaultInstance()));
            case "remove-replica" -> removeReplica(arguments, stub);
            default -> throw new IllegalArgumentException("no command is named " + command);
        };
    }

    private static ExitCode apply(Namespace arguments, OperatorsGrpc.OperatorsBlockingStub stub)
            throws IOException {
        Deployment.Builder deployment = Deployment.newBuilder();
        String text =
                Files.readString(Path.of(arguments.getString("file")), StandardCharsets.UTF_8);
        JsonFormat.parser().merge(text, deployment);
        Long expected = arguments.getLong("expected_revision");
        long revision =
                expected == null
                        ? stub.status(StatusRequest.getDefaultInstance()).getRevision()
                        : expected;
        ApplyReply reply =
                stub.apply(
                        ApplyRequest.newBuilder()
                                .setDeployment(deployment)
                                .setExpectedRevision(revision)
                                .setChangeId(changeId(arguments))
                                .setOperator(arguments.getString("operator"))
                                .build());
        return verdict(arguments, reply);
    }

    private static ExitCode drain(Namespace arguments, OperatorsGrpc.OperatorsBlockingStub stub)
            throws IOException {
        ApplyReply reply =
                stub.drain(
                        DrainRequest.newBuilder()
                                .setUpstream(arguments.getString("upstream"))
                                .setUndo(arguments.getBoolean("undo"))
                                .setChangeId(changeId(arguments))
                                .setOperator(arguments.getString("operator"))
                                .build());
        return verdict(arguments, reply);
    }

    private static ExitCode removeReplica(
            Namespace arguments, OperatorsGrpc.OperatorsBlockingStub stub) throws IOException {
        RemoveReplicaReply reply =
                stub.removeReplica(
                        RemoveReplicaRequest.newBuilder()
                                .setGroup(arguments.getString("group"))
                                .setHost(arguments.getString("host"))
                                .build());
        print(arguments, reply);
        return reply.getRemoved() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private static ExitCode verdict(Namespace arguments, ApplyReply reply) throws IOException {
        print(arguments, reply);
        return switch (reply.getOutcome()) {
            case ACCEPTED -> ExitCode.OK;
            case INVALID -> ExitCode.INVALID;
            default -> ExitCode.REFUSED;
        };
    }

    /** Prints one line of JSON, or the same over several lines for people. */
    private static ExitCode print(Namespace arguments, Message reply) throws IOException {
        JsonFormat.Printer printer = JsonFormat.printer().alwaysPrintFieldsWithNoPresence();
        boolean oneLine = arguments.getBoolean("json");
        System.out.println(
                (oneLine ? printer.omittingInsignificantWhitespace() : printer).print(reply));
        return ExitCode.OK;
    }

    private static String changeId(Namespace arguments) {
        String given = arguments.getString("change_id");
        return given == null ? UUID.randomUUID().toString() : given;
    }

    private static Subparser add(Subparsers commands, String name, String help) {
        Subparser command = commands.addParser(name).help(help);
        command.addArgument("--operators")
                .setDefault(DEFAULT_ADDRESS)
                .help("where a host listens for operators");
        command.addArgument("--json").action(Arguments.storeTrue()).help("print one line of JSON");
        return command;
    }

    private static void changeArguments(Subparser command) {
        command.addArgument("--change-id")
                .help("names the change; a resend with the same id gets the first answer again");
        command.addArgument("--operator")
                .setDefault(System.getProperty("user.name", "unknown"))
                .help("who makes the change, for the audit trail");
    }
}
