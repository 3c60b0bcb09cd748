package io.stackhall.server.node;

import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.WorkId;
import io.stackhall.core.outcome.ClaimCommand;
import io.stackhall.core.outcome.ClaimKey;
import io.stackhall.core.outcome.ClaimTable;
import io.stackhall.core.outcome.WorkCommand;
import io.stackhall.core.outcome.WorkItem;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.group.ControlCommand;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.group.ZoneCommand;
import io.stackhall.server.group.ZoneState;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Removes stale records from the groups that this host leads: it ends the claims and work items of
 * lost attempts, and deletes answers after their retention time.
 *
 * <p>Ages are counted from when this process first saw a record as the leader, so that a change of
 * leader can only extend the retention.
 */
final class Housekeeping {

    private static final int TOKEN_PARTS = 3;
    private static final int HEX_RADIX = 16;

    private final Settings.Timing timing;
    private final ConfigExchange configExchange;
    private final Map<Object, Long> firstSeen = new HashMap<>();

    Housekeeping(Settings.Timing timing, ConfigExchange exchange) {
        this.timing = timing;
        this.configExchange = exchange;
    }

    /** Removes stale claims of a zone's group, if this host leads it. */
    void cleanUpClaims(GroupHost group) {
        if (!group.holdsLeaseNow()) {
            return;
        }
        group.readLocal(state -> ((ZoneState) state).claims().state())
                .thenAccept(state -> removeStaleClaims(group, state));
    }

    /** Removes stale work items of the control group, if this host leads it. */
    void cleanUpWork(GroupHost group) {
        if (!group.holdsLeaseNow()) {
            return;
        }
        group.readLocal(state -> ((ControlState) state).work().items())
                .thenAccept(items -> removeStaleWork(group, items));
    }

    private synchronized void removeStaleClaims(GroupHost group, ClaimTable.State state) {
        Set<Object> seen = new HashSet<>();
        List<ClaimKey> expired = new ArrayList<>();
        for (ClaimTable.Held held : state.claims()) {
            seen.add(held.key());
            boolean claimed = held.progress() == ClaimTable.Progress.CLAIMED;
            if (claimed && isOlderThan(held.key(), timing.longestRun().toNanos())) {
                send(group, new ClaimCommand.Abandon(held.key(), held.token()));
            } else if (!claimed && isOlderThan(held.key(), timing.claimRetention().toNanos())) {
                expired.add(held.key());
            }
        }
        if (!expired.isEmpty()) {
            send(group, new ClaimCommand.Forget(expired));
        }
        if (state.memoryLost()) {
            seen.add(ClaimCommand.TrustMemory.class);
            if (isOlderThan(ClaimCommand.TrustMemory.class, timing.claimRetention().toNanos())) {
                send(group, new ClaimCommand.TrustMemory());
            }
        }
        firstSeen.keySet().removeIf(key -> !(key instanceof WorkId) && !seen.contains(key));
    }

    private synchronized void removeStaleWork(GroupHost group, List<WorkItem> items) {
        Set<Object> seen = new HashSet<>();
        List<WorkId> expired = new ArrayList<>();
        for (WorkItem item : items) {
            seen.add(item.id());
            boolean running = item.progress() == WorkItem.Progress.RUNNING;
            if (running && isAttemptLost(item)) {
                send(group, new WorkCommand.Lose(item.id(), item.holder().orElseThrow()));
            } else if (item.progress().ended()
                    && isOlderThan(item.id(), timing.claimRetention().toNanos())) {
                expired.add(item.id());
            }
        }
        if (!expired.isEmpty()) {
            send(group, new WorkCommand.Forget(expired));
        }
        firstSeen.keySet().removeIf(key -> key instanceof WorkId && !seen.contains(key));
    }

    /**
     * Returns whether the attempt at a work item is lost: its host reports another process id, or
     * has not reported for the longest permitted run, during which the item was known to be
     * running.
     */
    private boolean isAttemptLost(WorkItem item) {
        AttemptToken token = item.holder().orElseThrow();
        String[] parts = token.value().split("/", TOKEN_PARTS);
        Optional<ConfigExchange.HostReport> report =
                Optional.ofNullable(configExchange.hostReports().get(new HostId(parts[0])));
        long processId = Long.parseUnsignedLong(parts[1], HEX_RADIX);
        if (report.isPresent() && report.get().processId() != processId) {
            return true;
        }
        boolean silent = report.isEmpty() || !report.get().isRecent();
        long timeout = timing.longestRun().toNanos();
        return silent && isOlderThan(item.id(), timeout) && ageOf(report) > timeout;
    }

    private static long ageOf(Optional<ConfigExchange.HostReport> report) {
        return report.map(of -> BootClock.nanos() - of.receivedAt()).orElse(Long.MAX_VALUE);
    }

    private boolean isOlderThan(Object key, long nanos) {
        long now = BootClock.nanos();
        return now - firstSeen.computeIfAbsent(key, ignored -> now) > nanos;
    }

    private static void send(GroupHost group, ClaimCommand command) {
        group.command(Json.write(ZoneCommand.class, new ZoneCommand.ChangeClaims(command)));
    }

    private static void send(GroupHost group, WorkCommand command) {
        group.command(Json.write(ControlCommand.class, new ControlCommand.ChangeWork(command)));
    }

    /** Returns the interval between two runs, in milliseconds. */
    static long intervalMillis() {
        return TimeUnit.SECONDS.toMillis(1);
    }
}
