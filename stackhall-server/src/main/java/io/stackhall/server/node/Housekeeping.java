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
 * What a leader finds that nobody asks about: attempts that are gone, and answers kept long enough.
 *
 * <p>Ages are counted from when this process first saw a thing as the leader, so that a change of
 * leader only ever keeps things longer.
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

    /** Looks after the claims of a zone that this host leads. */
    void cleanUpClaims(GroupHost group) {
        if (!group.holdsLeaseNow()) {
            return;
        }
        group.readLocal(state -> ((ZoneState) state).claims().state())
                .thenAccept(state -> removeStaleClaims(group, state));
    }

    /** Looks after the accepted work, if this host leads the control group. */
    void cleanUpWork(GroupHost group) {
        if (!group.holdsLeaseNow()) {
            return;
        }
        group.readLocal(state -> ((ControlState) state).work().items())
                .thenAccept(items -> removeStaleWork(group, items));
    }

    private synchronized void removeStaleClaims(GroupHost group, ClaimTable.State state) {
        Set<Object> seen = new HashSet<>();
        List<ClaimKey> old = new ArrayList<>();
        for (ClaimTable.Held held : state.claims()) {
            seen.add(held.key());
            boolean claimed = held.progress() == ClaimTable.Progress.CLAIMED;
            if (claimed && isOlderThan(held.key(), timing.longestRun().toNanos())) {
                send(group, new ClaimCommand.Abandon(held.key(), held.token()));
            } else if (!claimed && isOlderThan(held.key(), timing.claimRetention().toNanos())) {
                old.add(held.key());
            }
        }
        if (!old.isEmpty()) {
            send(group, new ClaimCommand.Forget(old));
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
        List<WorkId> old = new ArrayList<>();
        for (WorkItem item : items) {
            seen.add(item.id());
            boolean running = item.progress() == WorkItem.Progress.RUNNING;
            if (running && isAttemptLost(item)) {
                send(group, new WorkCommand.Lose(item.id(), item.holder().orElseThrow()));
            } else if (item.progress().ended()
                    && isOlderThan(item.id(), timing.claimRetention().toNanos())) {
                old.add(item.id());
            }
        }
        if (!old.isEmpty()) {
            send(group, new WorkCommand.Forget(old));
        }
        firstSeen.keySet().removeIf(key -> key instanceof WorkId && !seen.contains(key));
    }

    /** An attempt is gone when its host speaks from another process, or has long been silent. */
    private boolean isAttemptLost(WorkItem item) {
        AttemptToken token = item.holder().orElseThrow();
        String[] parts = token.value().split("/", TOKEN_PARTS);
        Optional<ConfigExchange.HostReport> host =
                Optional.ofNullable(configExchange.hostReports().get(new HostId(parts[0])));
        long process = Long.parseUnsignedLong(parts[1], HEX_RADIX);
        if (host.isPresent() && host.get().processId() != process) {
            return true;
        }
        boolean silent = host.isEmpty() || !host.get().isRecent();
        long patience = timing.longestRun().toNanos();
        return silent && isOlderThan(item.id(), patience) && ageOf(host) > patience;
    }

    private static long ageOf(Optional<ConfigExchange.HostReport> host) {
        return host.map(of -> BootClock.nanos() - of.receivedAt()).orElse(Long.MAX_VALUE);
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

    /** Returns the interval between two rounds, in milliseconds. */
    static long intervalMillis() {
        return TimeUnit.SECONDS.toMillis(1);
    }
}
