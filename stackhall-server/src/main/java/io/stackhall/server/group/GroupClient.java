package io.stackhall.server.group;

import com.google.protobuf.ByteString;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.peer.CommandReply;
import io.stackhall.rpc.generated.peer.CommandRequest;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.NotSentException;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Brings commands to the leader of a group, wherever it is, and resends them until they are
 * answered or time is up. Every command is idempotent, so that a resend does no harm.
 */
public final class GroupClient {

    private static final Duration ATTEMPT = Duration.ofSeconds(1);
    private static final long PAUSE_MILLIS = 25;

    private final HostId self;
    private final PeerTransport transport;
    private final Map<String, GroupHost> local;
    private final Function<String, List<HostId>> members;

    /**
     * Creates a client over the replicas of this host and the connections to others.
     *
     * @param members returns the hosts that may run a replica of a group
     */
    public GroupClient(
            HostId self,
            PeerTransport transport,
            Map<String, GroupHost> local,
            Function<String, List<HostId>> members) {
        this.self = self;
        this.transport = transport;
        this.local = local;
        this.members = members;
    }

    /** Sends a command and waits; to be called on a virtual thread. */
    public CommandOutcome command(String group, byte[] bytes, Duration timeout) {
        return ask(group, bytes, false, timeout);
    }

    /** Asks the leader a question and waits; to be called on a virtual thread. */
    public CommandOutcome query(String group, byte[] bytes, Duration timeout) {
        return ask(group, bytes, true, timeout);
    }

    /** Answers a command that came from another host. */
    public void serve(long call, CommandRequest request, Replier replier) {
        GroupHost host = local.get(request.getGroup());
        CompletableFuture<CommandOutcome> outcome;
        if (host == null) {
            outcome = refused("this host is not in group " + request.getGroup());
        } else if (leads(host)) {
            outcome = attempt(host, request.getCommand().toByteArray(), request.getQuery());
        } else if (!request.getForwarded() && leaderOf(host).isPresent()) {
            outcome = callHost(leaderOf(host).get(), request.toBuilder().setForwarded(true));
        } else {
            outcome = refused("no leader is known");
        }
        outcome.thenAccept(
                done ->
                        replier.send(
                                Frame.newBuilder()
                                        .setCall(call)
                                        .setCommandReply(encode(done))
                                        .build()));
    }

    private CommandOutcome ask(String group, byte[] bytes, boolean query, Duration timeout) {
        long deadline = BootClock.nanos() + timeout.toNanos();
        String uncertain = null;
        String refused = "no member of group " + group + " answers";
        int attempt = 0;
        do {
            CommandOutcome outcome = await(attemptSomewhere(group, bytes, query, attempt));
            attempt++;
            switch (outcome) {
                case CommandOutcome.Done done -> {
                    return done;
                }
                case CommandOutcome.Refused(String reason) -> refused = reason;
                case CommandOutcome.Unknown(String reason) -> uncertain = reason;
            }
            pause();
        } while (BootClock.nanos() - deadline < 0 && !Thread.currentThread().isInterrupted());
        boolean mayBeApplied = uncertain != null && !query;
        return mayBeApplied
                ? new CommandOutcome.Unknown(uncertain)
                : new CommandOutcome.Refused(refused);
    }

    private CompletableFuture<CommandOutcome> attemptSomewhere(
            String group, byte[] bytes, boolean query, int attempt) {
        GroupHost host = local.get(group);
        if (host != null && leads(host)) {
            return attempt(host, bytes, query);
        }
        CommandRequest.Builder request =
                CommandRequest.newBuilder()
                        .setGroup(group)
                        .setCommand(ByteString.copyFrom(bytes))
                        .setQuery(query);
        Optional<HostId> leader = host == null ? Optional.empty() : leaderOf(host);
        if (leader.isPresent()) {
            return callHost(leader.get(), request.setForwarded(true));
        }
        List<HostId> others = new ArrayList<>(members.apply(group));
        others.remove(self);
        if (others.isEmpty()) {
            return refused("no leader is known");
        }
        return callHost(others.get(attempt % others.size()), request);
    }

    private CompletableFuture<CommandOutcome> callHost(
            HostId host, CommandRequest.Builder request) {
        return transport
                .call(host, Frame.newBuilder().setCommand(request), ATTEMPT)
                .thenApply(frame -> decode(frame.getCommandReply()))
                .exceptionally(GroupClient::unanswered);
    }

    private static CompletableFuture<CommandOutcome> attempt(
            GroupHost host, byte[] bytes, boolean query) {
        CompletableFuture<CommandOutcome> outcome = query ? host.query(bytes) : host.command(bytes);
        return outcome.completeOnTimeout(
                new CommandOutcome.Unknown("the group did not answer in time"),
                ATTEMPT.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private boolean leads(GroupHost host) {
        return leaderOf(host).equals(Optional.of(self));
    }

    private static Optional<HostId> leaderOf(GroupHost host) {
        return host.view().leader().map(leader -> new HostId(leader.host()));
    }

    private static CommandOutcome unanswered(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof NotSentException
                ? new CommandOutcome.Refused(cause.getMessage())
                : new CommandOutcome.Unknown("no reply came");
    }

    private static CompletableFuture<CommandOutcome> refused(String reason) {
        return CompletableFuture.completedFuture(new CommandOutcome.Refused(reason));
    }

    private static CommandOutcome await(CompletableFuture<CommandOutcome> outcome) {
        try {
            return outcome.get(2 * ATTEMPT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new CommandOutcome.Unknown("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return new CommandOutcome.Unknown("no answer: " + e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CommandReply encode(CommandOutcome outcome) {
        return switch (outcome) {
            case CommandOutcome.Done(byte[] result) ->
                    CommandReply.newBuilder()
                            .setStatus(CommandReply.Status.DONE)
                            .setResult(ByteString.copyFrom(result))
                            .build();
            case CommandOutcome.Refused(String reason) ->
                    CommandReply.newBuilder()
                            .setStatus(CommandReply.Status.REFUSED)
                            .setResult(ByteString.copyFromUtf8(reason))
                            .build();
            case CommandOutcome.Unknown(String reason) ->
                    CommandReply.newBuilder()
                            .setStatus(CommandReply.Status.UNKNOWN)
                            .setResult(ByteString.copyFromUtf8(reason))
                            .build();
        };
    }

    private static CommandOutcome decode(CommandReply reply) {
        return switch (reply.getStatus()) {
            case DONE -> new CommandOutcome.Done(reply.getResult().toByteArray());
            case REFUSED -> new CommandOutcome.Refused(reply.getResult().toStringUtf8());
            default -> new CommandOutcome.Unknown(reply.getResult().toStringUtf8());
        };
    }
}
