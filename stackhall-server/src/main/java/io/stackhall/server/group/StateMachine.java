package io.stackhall.server.group;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.core.replication.SnapshotPolicy;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Applies what is committed to a group's state, each entry once, and tells of the changes. Used on
 * the group's thread.
 */
final class StateMachine {

    private static final Logger logger = LogManager.getLogger(StateMachine.class);

    private final String group;
    private final GroupState state;
    private final GroupListener listener;
    private final Tickets tickets;
    private final SnapshotPolicy snapshotPolicy = new SnapshotPolicy();
    private long appliedIndex;
    private boolean caughtUp;

    /** Creates one that has applied what a snapshot covers. */
    StateMachine(
            String group,
            GroupState state,
            GroupListener listener,
            Tickets tickets,
            Snapshot snapshot) {
        this.group = group;
        this.state = state;
        this.listener = listener;
        this.tickets = tickets;
        takeOver(snapshot);
    }

    /** Returns the index of the last entry that was applied. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Returns whether the state should be saved as a snapshot. */
    boolean snapshotDue() {
        return snapshotPolicy.due();
    }

    /** Notes that a snapshot of what is applied has been saved. */
    void covered(Snapshot snapshot) {
        snapshotPolicy.snapshotTaken(snapshot);
    }

    GroupState state() {
        return state;
    }

    void apply(List<Entry> entries) {
        entries.forEach(this::apply);
        tellChanged();
    }

    void restore(Snapshot snapshot) {
        takeOver(snapshot);
        tellChanged();
    }

    /** All is applied that was committed when this replica began. */
    void caughtUp() {
        caughtUp = true;
        logger.info("group.caught-up group={} applied={}", group, appliedIndex);
        tellChanged();
    }

    /**
     * While the log is applied from the start, each state in it would be passed on as if it were
     * news, to hosts that have started anew and hold nothing newer.
     */
    private void tellChanged() {
        if (caughtUp) {
            listener.changed();
        }
    }

    private void takeOver(Snapshot snapshot) {
        state.restore(snapshot.state());
        appliedIndex = snapshot.lastIndex();
        snapshotPolicy.snapshotTaken(snapshot);
    }

    /**
     * An entry that was applied before the storage failed is committed, and applied no second time.
     */
    private void apply(Entry entry) {
        if (entry.index() <= appliedIndex) {
            return;
        }
        byte[] result = new byte[0];
        switch (entry.payload()) {
            case Payload.Command(byte[] bytes) -> result = state.apply(bytes);
            case Payload.Reformed(boolean memoryLost) -> {
                logger.warn("group.reformed group={} memoryLost={}", group, memoryLost);
                state.reformed(memoryLost);
            }
            case Payload.MembershipChange(var membership) ->
                    logger.info("group.membership group={} {}", group, membership);
            case Payload.Blank() -> {
                // It only commits what came before.
            }
        }
        appliedIndex = entry.index();
        snapshotPolicy.entryApplied(entry);
        tickets.applied(entry.index(), result);
    }
}
