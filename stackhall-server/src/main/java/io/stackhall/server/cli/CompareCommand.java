package io.stackhall.server.cli;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.stackhall.rpc.generated.operators.MeasuresReply;
import io.stackhall.rpc.generated.operators.MeasuresRequest;
import io.stackhall.rpc.generated.operators.OperatorsGrpc;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.compare.ComparisonPage;
import io.stackhall.server.compare.PolicyComparison;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Watches the hosts of a system for a time and compares its policies on the live traffic. */
final class CompareCommand {

    private static final long DEADLINE_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, ManagedChannel> channels = new LinkedHashMap<>();

    private CompareCommand(List<String> addresses) {
        for (String text : addresses) {
            Address address = Address.parse(text);
            channels.put(
                    text, NettyChannelBuilder.forAddress(address.socket()).usePlaintext().build());
        }
    }

    static void addTo(Subparsers commands) {
        Subparser command =
                commands.addParser("compare")
                        .help("compare the policies in force and in shadow on the live traffic");
        command.addArgument("--operators")
                .nargs("+")
                .required(true)
                .help("where each entry host listens for operators, ip:port");
        command.addArgument("--seconds").type(Double.class).setDefault(60.0).help("how long");
        command.addArgument("--every").type(Double.class).setDefault(2.0).help("seconds a sample");
        command.addArgument("--report").help("an HTML page to write, with plots over time");
    }

    /** What is printed. */
    record Printed(int accelerators, List<PolicyComparison.Result> policies) {}

    static ExitCode run(Namespace arguments) {
        double seconds = arguments.getDouble("seconds");
        double every = arguments.getDouble("every");
        if (seconds <= 0 || every <= 0) {
            System.err.println("stackhall: --seconds and --every must be positive");
            return ExitCode.INVALID;
        }
        StopSignal stop = StopSignal.install();
        CompareCommand command = new CompareCommand(arguments.getList("operators"));
        try {
            PolicyComparison comparison = command.watch(stop, seconds, every);
            return stop.finish(print(comparison, arguments.getString("report")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return stop.finish(ExitCode.FAILED);
        } catch (IOException e) {
            System.err.println("stackhall: cannot write the report: " + e.getMessage());
            return stop.finish(ExitCode.FAILED);
        } finally {
            command.channels.values().forEach(ManagedChannel::shutdownNow);
        }
    }

    private static ExitCode print(PolicyComparison comparison, String report) throws IOException {
        Printed printed = new Printed(comparison.accelerators(), comparison.results());
        System.out.println(new String(Json.write(Printed.class, printed), StandardCharsets.UTF_8));
        System.out.flush();
        if (report != null) {
            Files.writeString(Path.of(report), new ComparisonPage(comparison).html());
        }
        return comparison.results().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private PolicyComparison watch(StopSignal stop, double seconds, double every)
            throws InterruptedException {
        long start = BootClock.nanos();
        PolicyComparison comparison = new PolicyComparison(ask());
        System.err.println("stackhall: comparing, until the time is over or a signal to stop");
        double passed = 0;
        boolean stopped = false;
        while (passed < seconds && !stopped) {
            double pause = Math.min(every, seconds - passed);
            stopped = stop.await(Duration.ofNanos((long) (pause * NANOS_PER_SECOND)));
            passed = (BootClock.nanos() - start) / NANOS_PER_SECOND;
            comparison.add(passed, ask());
        }
        return comparison;
    }

    private List<MeasuresReply> ask() {
        List<MeasuresReply> replies = new ArrayList<>();
        channels.forEach(
                (address, channel) -> {
                    try {
                        replies.add(
                                OperatorsGrpc.newBlockingStub(channel)
                                        .withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS)
                                        .measures(MeasuresRequest.getDefaultInstance()));
                    } catch (StatusRuntimeException e) {
                        System.err.println("stackhall: " + address + ": " + e.getStatus());
                    }
                });
        return replies;
    }
}
