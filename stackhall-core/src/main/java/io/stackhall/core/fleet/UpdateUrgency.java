package io.stackhall.core.fleet;

import java.util.Optional;

/** How soon a new report of an instance has to be passed on to entry hosts. */
public enum UpdateUrgency {
    /**
     * At once and by every control host: requests must no longer be sent to the instance as before,
     * since it has changed its state, its incarnation or its address, has turned cold, or is first
     * heard of as not ready. An entry host whose primary is lost must be notified too.
     */
    CRITICAL,
    /**
     * At once: the instance appears or serves a further model. An entry host that is notified late
     * uses other instances meanwhile.
     */
    URGENT,
    /**
     * Together with other changes: the resident models or local weights have changed, of which
     * entry hosts are notified when they are ordered, or the slots have.
     */
    BATCHED,
    /** Not at all: no relevant change. */
    NONE;

    /**
     * Returns the urgency of a report, given the previous one.
     *
     * @param before the previous report, if any
     * @param after the new report, possibly of a later incarnation
     */
    public static UpdateUrgency of(Optional<Instance> before, Instance after) {
        if (before.isEmpty()) {
            return after.state() == InstanceState.READY ? URGENT : CRITICAL;
        }
        if (isCritical(before.get(), after)) {
            return CRITICAL;
        }
        if (servesFurtherModel(before.get(), after)) {
            return URGENT;
        }
        return differs(before.get(), after) ? BATCHED : NONE;
    }

    private static boolean isCritical(Instance before, Instance after) {
        return !before.id().equals(after.id())
                || before.state() != after.state()
                || !before.address().equals(after.address())
                || before.cold().compareTo(after.cold()) < 0;
    }

    private static boolean servesFurtherModel(Instance before, Instance after) {
        return after.models().stream().anyMatch(copy -> before.copyOf(copy.model()).isEmpty());
    }

    private static boolean differs(Instance before, Instance after) {
        return !before.models().equals(after.models())
                || !before.inHostMemory().equals(after.inHostMemory())
                || !before.onDisk().equals(after.onDisk())
                || before.slots() != after.slots();
    }
}
