package io.stackhall.core.outcome;

import io.stackhall.core.id.AttemptToken;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The replicated table of claims, which ensures that a request that is not repeatable runs at most
 * once.
 *
 * <p>A claim is taken by compare-and-set before the request is dispatched. It ends with an answer,
 * with a proof that the request did not run, or as uncertain; an uncertain request is never run
 * again. After a loss of memory, a key that the table does not know may have been claimed before,
 * and is uncertain until the leader applies {@link ClaimCommand.TrustMemory}.
 */
public final class ClaimTable {

    /** The maximum number of claims in the table. */
    public static final int MAX_CLAIMS = 100_000;

    private final Map<ClaimKey, Held> claims = new LinkedHashMap<>();
    private final int capacity;
    private boolean memoryLost;

    /** Creates an empty table with the default capacity. */
    public ClaimTable() {
        this(MAX_CLAIMS);
    }

    /** Creates an empty table with a capacity. */
    public ClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /** Restores a table from {@link #state()}. */
    public ClaimTable(State state) {
        this(MAX_CLAIMS);
        memoryLost = state.memoryLost();
        state.claims().forEach(held -> claims.put(held.key(), held));
    }

    /** The progress of an attempt. */
    public enum Progress {
        /** It may be running. */
        CLAIMED,
        /** It has ended with an answer. */
        ANSWERED,
        /** It has ended without an answer. */
        UNCERTAIN
    }

    /** One claim. */
    public record Held(
            ClaimKey key,
            AttemptToken token,
            String fingerprint,
            Progress progress,
            Optional<StoredAnswer> answer) {}

    /** The whole content of the table. */
    public record State(List<Held> claims, boolean memoryLost) {}

    /** Applies a command. */
    public ClaimResult apply(ClaimCommand command) {
        return switch (command) {
            case ClaimCommand.Claim claim -> claim(claim);
            case ClaimCommand.Complete(ClaimKey key, AttemptToken token, StoredAnswer answer) ->
                    end(key, token, Progress.ANSWERED, Optional.of(answer));
            case ClaimCommand.Abandon(ClaimKey key, AttemptToken token) ->
                    end(key, token, Progress.UNCERTAIN, Optional.empty());
            case ClaimCommand.Release(ClaimKey key, AttemptToken token) -> release(key, token);
            case ClaimCommand.Forget(List<ClaimKey> keys) -> {
                keys.forEach(claims::remove);
                yield new ClaimResult.Done();
            }
            case ClaimCommand.TrustMemory() -> {
                memoryLost = false;
                yield new ClaimResult.Done();
            }
        };
    }

    /** Records that acknowledged claims may be missing. */
    public void markMemoryLost() {
        memoryLost = true;
    }

    /** Returns whether acknowledged claims may be missing. */
    public boolean memoryLost() {
        return memoryLost;
    }

    /** Returns the claims, oldest first. */
    public List<Held> claims() {
        return List.copyOf(claims.values());
    }

    /** Returns the whole content of the table. */
    public State state() {
        return new State(new ArrayList<>(claims.values()), memoryLost);
    }

    private ClaimResult claim(ClaimCommand.Claim claim) {
        Held held = claims.get(claim.key());
        if (held == null) {
            return claimUnknownKey(claim);
        }
        if (!held.fingerprint().equals(claim.fingerprint())) {
            return new ClaimResult.Conflict();
        }
        return switch (held.progress()) {
            case CLAIMED ->
                    held.token().equals(claim.token())
                            ? new ClaimResult.Granted()
                            : new ClaimResult.InProgress();
            case ANSWERED -> new ClaimResult.Replay(held.answer().orElseThrow());
            case UNCERTAIN -> new ClaimResult.Uncertain("an earlier attempt gave no whole answer");
        };
    }

    private ClaimResult claimUnknownKey(ClaimCommand.Claim claim) {
        if (memoryLost) {
            return new ClaimResult.Uncertain("claims from before a loss of memory may be missing");
        }
        if (claims.size() >= capacity) {
            return new ClaimResult.Full();
        }
        claims.put(
                claim.key(),
                new Held(
                        claim.key(),
                        claim.token(),
                        claim.fingerprint(),
                        Progress.CLAIMED,
                        Optional.empty()));
        return new ClaimResult.Granted();
    }

    private ClaimResult end(
            ClaimKey key, AttemptToken token, Progress progress, Optional<StoredAnswer> answer) {
        Held held = claims.get(key);
        if (held == null || !held.token().equals(token)) {
            return new ClaimResult.Stale();
        }
        if (held.progress() == Progress.CLAIMED || progress == Progress.ANSWERED) {
            claims.put(key, new Held(key, token, held.fingerprint(), progress, answer));
        }
        return new ClaimResult.Done();
    }

    private ClaimResult release(ClaimKey key, AttemptToken token) {
        Held held = claims.get(key);
        if (held == null || !held.token().equals(token)) {
            return new ClaimResult.Stale();
        }
        if (held.progress() == Progress.CLAIMED) {
            claims.remove(key);
        }
        return new ClaimResult.Done();
    }
}
