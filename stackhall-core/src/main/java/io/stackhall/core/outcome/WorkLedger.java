package io.stackhall.core.outcome;

import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The replicated ledger of accepted work: no item is lost, and none that is not repeatable runs
 * twice.
 *
 * <p>An item and the intent to run it are one entry. An attempt takes an item by compare-and-set.
 * If the attempt is lost, the item waits again if it is repeatable and has not lost too many
 * attempts; otherwise it becomes uncertain and stays so.
 */
public final class WorkLedger {

    /** The maximum number of items in the ledger, including ended ones. */
    public static final int MAX_ITEMS = 20_000;

    /**
     * Losing a host or an upstream during one item is rare; five losses in a row are caused by the
     * item itself, and each also ends whatever else ran there.
     */
    private static final int MAX_LOST_ATTEMPTS = 5;

    private static final Comparator<WorkItem> MOST_URGENT_FIRST =
            Comparator.comparing(WorkItem::priority);

    private final Map<WorkId, WorkItem> items = new LinkedHashMap<>();

    /** Creates an empty ledger. */
    public WorkLedger() {}

    /** Restores a ledger from {@link #state()}. */
    public WorkLedger(State state) {
        state.items().forEach(item -> items.put(item.id(), item));
    }

    /** The whole content of the ledger, oldest first. */
    public record State(List<WorkItem> items) {}

    /** Applies a command. */
    public WorkResult apply(WorkCommand command) {
        return switch (command) {
            case WorkCommand.Accept accept -> accept(accept);
            case WorkCommand.Take(AttemptToken token) -> take(token);
            case WorkCommand.Finish(WorkId id, AttemptToken token, StoredAnswer answer) ->
                    move(id, token, WorkItem.Progress.ANSWERED, Optional.of(answer));
            case WorkCommand.PutBack(WorkId id, AttemptToken token) ->
                    move(id, token, WorkItem.Progress.WAITING, Optional.empty());
            case WorkCommand.Lose(WorkId id, AttemptToken token) -> lose(id, token);
            case WorkCommand.Cancel(WorkId id, CustomerId caller) -> cancel(id, caller);
            case WorkCommand.Forget(List<WorkId> ids) -> forget(ids);
        };
    }

    /** Returns the item with an id. */
    public Optional<WorkItem> item(WorkId id) {
        return Optional.ofNullable(items.get(id));
    }

    /** Returns all items, oldest first. */
    public List<WorkItem> items() {
        return List.copyOf(items.values());
    }

    /** Returns the whole content of the ledger. */
    public State state() {
        return new State(items());
    }

    private WorkResult accept(WorkCommand.Accept accept) {
        WorkItem known = items.get(accept.id());
        if (known != null) {
            return new WorkResult.Kept(known);
        }
        if (items.size() >= MAX_ITEMS) {
            return new WorkResult.Full();
        }
        WorkItem item =
                new WorkItem(
                        accept.id(),
                        accept.caller(),
                        accept.priority(),
                        accept.request(),
                        accept.repeatable(),
                        WorkItem.Progress.WAITING,
                        Optional.empty(),
                        0,
                        0,
                        Optional.empty());
        items.put(item.id(), item);
        return new WorkResult.Kept(item);
    }

    private WorkResult take(AttemptToken token) {
        Optional<WorkItem> held =
                items.values().stream()
                        .filter(item -> item.holder().equals(Optional.of(token)))
                        .findFirst();
        if (held.isPresent()) {
            return new WorkResult.Taken(held.get());
        }
        Optional<WorkItem> next =
                items.values().stream()
                        .filter(item -> item.progress() == WorkItem.Progress.WAITING)
                        .min(MOST_URGENT_FIRST);
        if (next.isEmpty()) {
            return new WorkResult.NothingWaits();
        }
        WorkItem taken = next.get().withHolder(token);
        items.put(taken.id(), taken);
        return new WorkResult.Taken(taken);
    }

    private WorkResult lose(WorkId id, AttemptToken token) {
        WorkItem item = items.get(id);
        if (!isHeldBy(item, token)) {
            return new WorkResult.Stale();
        }
        boolean again = item.repeatable() && item.losses() + 1 < MAX_LOST_ATTEMPTS;
        items.put(
                id,
                item.withLostAttempt(
                        again ? WorkItem.Progress.WAITING : WorkItem.Progress.UNCERTAIN));
        return new WorkResult.Done();
    }

    private static boolean isHeldBy(WorkItem item, AttemptToken token) {
        return item != null && item.holder().equals(Optional.of(token));
    }

    private WorkResult move(
            WorkId id, AttemptToken token, WorkItem.Progress next, Optional<StoredAnswer> answer) {
        WorkItem item = items.get(id);
        if (!isHeldBy(item, token)) {
            return new WorkResult.Stale();
        }
        items.put(id, item.withProgress(next, answer));
        return new WorkResult.Done();
    }

    private WorkResult cancel(WorkId id, CustomerId caller) {
        WorkItem item = items.get(id);
        if (item == null
                || !item.caller().equals(caller)
                || item.progress() != WorkItem.Progress.WAITING) {
            return new WorkResult.Stale();
        }
        items.put(id, item.withProgress(WorkItem.Progress.CANCELLED, Optional.empty()));
        return new WorkResult.Done();
    }

    private WorkResult forget(List<WorkId> ids) {
        for (WorkId id : ids) {
            WorkItem item = items.get(id);
            if (item != null && item.progress().ended()) {
                items.remove(id);
            }
        }
        return new WorkResult.Done();
    }
}
