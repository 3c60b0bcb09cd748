package io.stackhall.core.fleet;

import java.util.Optional;

/** How soon entry hosts have to hear of what an instance newly says of itself. */
public enum UpdateUrgency {
    /** It comes, goes, drains, moves, turns cold or serves a further model: at once. */
    URGENT,
    /** What it holds has changed, of which orders have told: with other changes. */
    BATCHED,
    /** Nothing that matters to anybody. */
    NONE;

    /**
     * Compares two reports of an instance.
     *
     * @param before the one before, if there was any
     * @param after the new one, maybe of a later life
     */
    public static UpdateUrgency of(Optional<Instance> before, Instance after) {
        if (before.isEmpty() || isUrgent(before.get(), after)) {
            return URGENT;
        }
        return differs(before.get(), after) ? BATCHED : NONE;
    }

    private static boolean isUrgent(Instance before, Instance after) {
        return !before.id().equals(after.id())
                || before.state() != after.state()
                || !before.address().equals(after.address())
                || before.cold().compareTo(after.cold()) < 0
                || after.models().stream().anyMatch(copy -> before.copyOf(copy.model()).isEmpty());
    }

    private static boolean differs(Instance before, Instance after) {
        return !before.models().equals(after.models())
                || !before.inHostMemory().equals(after.inHostMemory())
                || !before.onDisk().equals(after.onDisk())
                || before.slots() != after.slots();
    }
}
