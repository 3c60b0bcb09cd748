package io.stackhall.core.replication;

import java.util.Objects;
import java.util.Optional;

/**
 * State, besides the log, that a replica must persist before it sends messages that depend on it.
 *
 * @param formation random number of the group formation that the replica belongs to, or 0 if it
 *     belongs to none yet
 * @param term the latest term seen
 * @param vote the candidate that the replica voted for in that term
 */
public record HardState(long formation, long term, Optional<ReplicaId> vote) {

    /** Validates the components. */
    public HardState {
        Objects.requireNonNull(vote, "vote");
        if (term < 0) {
            throw new IllegalArgumentException("term " + term + " is negative");
        }
    }

    /** Returns the state of a replica that belongs to no group yet. */
    public static HardState initial() {
        return new HardState(0, 0, Optional.empty());
    }

    HardState withTerm(long newTerm) {
        return new HardState(formation, newTerm, Optional.empty());
    }

    HardState withVote(ReplicaId candidate) {
        return new HardState(formation, term, Optional.of(candidate));
    }

    HardState withFormation(long newFormation) {
        return new HardState(newFormation, term, vote);
    }
}
