package io.stackhall.server.group;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Who waits for the outcome of which command or question. Used on the group's own thread. */
final class Tickets {

    private final Map<Long, CompletableFuture<CommandOutcome>> waiting = new HashMap<>();
    private final Map<Long, Long> byIndex = new HashMap<>();
    private final Map<Long, byte[]> questions = new HashMap<>();
    private long next = 1;

    /** Returns the number under which an outcome is awaited. */
    long issue(CompletableFuture<CommandOutcome> outcome) {
        long ticket = next++;
        waiting.put(ticket, outcome);
        return ticket;
    }

    /** Returns the number under which the answer to a question is awaited. */
    long issue(CompletableFuture<CommandOutcome> outcome, byte[] question) {
        long ticket = issue(outcome);
        questions.put(ticket, question);
        return ticket;
    }

    /** Returns a question, once. */
    byte[] takeQuestion(long ticket) {
        return questions.remove(ticket);
    }

    /** Notes at which index of the log a command stands. */
    void accepted(long ticket, long index) {
        byIndex.put(index, ticket);
    }

    /** Ends the wait for the command at an index, if anybody waits for it. */
    void applied(long index, byte[] result) {
        Long ticket = byIndex.remove(index);
        if (ticket != null) {
            complete(ticket, new CommandOutcome.Done(result));
        }
    }

    /** Ends one wait. */
    void complete(long ticket, CommandOutcome outcome) {
        questions.remove(ticket);
        Optional.ofNullable(waiting.remove(ticket)).ifPresent(of -> of.complete(outcome));
    }

    /** Ends the waits for commands in the log, which may be committed by another leader or not. */
    void leadershipLost() {
        List<Long> accepted = List.copyOf(byIndex.values());
        byIndex.clear();
        accepted.forEach(
                ticket -> complete(ticket, new CommandOutcome.Unknown("leadership was lost")));
    }

    /** Ends every wait. */
    void endAll(CommandOutcome outcome) {
        waiting.values().forEach(of -> of.complete(outcome));
        waiting.clear();
        byIndex.clear();
        questions.clear();
    }
}
