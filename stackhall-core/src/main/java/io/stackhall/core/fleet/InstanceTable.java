package io.stackhall.core.fleet;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Every incarnation of an upstream that is known, merged from reports that may come late, doubled
 * and out of order.
 *
 * <p>Merging is commutative: of two reports of an incarnation the later one counts, draining is
 * never taken back, and one that is gone stays gone. So hosts that have seen the same reports agree
 * in whatever order they came.
 */
public final class InstanceTable {

    /** Enough for every incarnation of an hour in which each of 1,000 upstreams restarts. */
    private static final int REMEMBERED_GONE = 2_000;

    /** A process that was frozen or cut off for a minute may come back with its id. */
    private static final int SILENCES_UNTIL_GONE = 20;

    private final Duration silence;
    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, Long> heardAt = new HashMap<>();
    private final Set<UpstreamId> draining = new HashSet<>();
    private final Map<UpstreamId, Boolean> gone =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<UpstreamId, Boolean> eldest) {
                    return size() > REMEMBERED_GONE;
                }
            };

    /**
     * Creates an empty table.
     *
     * @param silence how long an incarnation may say nothing before it counts as gone
     */
    public InstanceTable(Duration silence) {
        this.silence = silence;
    }

    /**
     * Takes in a report, direct or passed on.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return the instances whose entry has changed, gone ones included
     */
    public List<Instance> merge(Instance report, long now) {
        if (gone.containsKey(report.id())) {
            return List.of();
        }
        Instance known = instances.get(report.id());
        if (report.state() == InstanceState.GONE) {
            return List.of(bury(known == null ? report : known));
        }
        if (report.state() == InstanceState.SILENT) {
            return silence(known, report);
        }
        if (known != null && report.sequence() <= known.sequence()) {
            return List.of();
        }
        List<Instance> changed = new ArrayList<>();
        if (known == null) {
            Optional<Instance> holder = atAddress(report.address());
            if (holder.isPresent() && heardWithin(holder.get().id(), silence.dividedBy(4), now)) {
                return List.of();
            }
            holder.ifPresent(old -> changed.add(bury(old)));
        }
        heardAt.put(report.id(), now);
        boolean drains = draining.contains(report.id());
        Instance next = drains ? report.withState(InstanceState.DRAINING) : report;
        keep(next);
        changed.add(next);
        return changed;
    }

    /** Takes out an incarnation that says it ends. */
    public List<Instance> remove(UpstreamId id) {
        Instance known = instances.get(id);
        if (known == null) {
            gone.put(id, true);
            return List.of();
        }
        return List.of(bury(known));
    }

    /** Marks an incarnation as one that takes nothing new. */
    public List<Instance> drain(UpstreamId id) {
        Instance known = instances.get(id);
        if (known == null || draining.contains(id)) {
            return List.of();
        }
        Instance next = known.withState(InstanceState.DRAINING);
        keep(next);
        return List.of(next);
    }

    /**
     * Marks the incarnations that have said nothing for too long, and takes out those long lost.
     */
    public List<Instance> expire(long now) {
        List<Instance> changed = new ArrayList<>();
        for (Instance instance : List.copyOf(instances.values())) {
            if (!heardWithin(instance.id(), silence.multipliedBy(SILENCES_UNTIL_GONE), now)) {
                changed.add(bury(instance));
            } else if (!heardWithin(instance.id(), silence, now)) {
                changed.addAll(silence(instance, instance));
            }
        }
        return changed;
    }

    /** Counts all as just heard: what was silent may have been this host itself. */
    public void refresh(long now) {
        heardAt.replaceAll((id, at) -> now);
    }

    /** Returns an incarnation that is not gone. */
    public Optional<Instance> find(UpstreamId id) {
        return Optional.ofNullable(instances.get(id));
    }

    /** Returns the incarnations that are not gone. */
    public Collection<Instance> all() {
        return List.copyOf(instances.values());
    }

    /** Returns whether an incarnation is known to be gone. */
    public boolean isGone(UpstreamId id) {
        return gone.containsKey(id);
    }

    private List<Instance> silence(Instance known, Instance report) {
        boolean later = known != null && report.sequence() < known.sequence();
        if (known == null || later || known.state() == InstanceState.SILENT) {
            return List.of();
        }
        Instance next = known.withState(InstanceState.SILENT);
        instances.put(next.id(), next);
        return List.of(next);
    }

    private void keep(Instance instance) {
        instances.put(instance.id(), instance);
        if (instance.state() == InstanceState.DRAINING) {
            draining.add(instance.id());
        }
    }

    private Instance bury(Instance instance) {
        instances.remove(instance.id());
        heardAt.remove(instance.id());
        draining.remove(instance.id());
        gone.put(instance.id(), true);
        return instance.withState(InstanceState.GONE);
    }

    private Optional<Instance> atAddress(String address) {
        for (Instance instance : instances.values()) {
            if (instance.address().equals(address)) {
                return Optional.of(instance);
            }
        }
        return Optional.empty();
    }

    private boolean heardWithin(UpstreamId id, Duration period, long now) {
        Long at = heardAt.get(id);
        return at != null && now - at < period.toNanos();
    }
}
