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
 * The table of all known incarnations of upstreams, merged from reports that may arrive late,
 * duplicated and out of order.
 *
 * <p>Merging is commutative: of two reports of an incarnation the later one counts, draining is
 * never reverted, and a gone incarnation stays gone. Hosts that have received the same reports
 * therefore agree, whatever the order. An upstream that restarts under its name begins a new
 * incarnation, which replaces the previous one.
 */
public final class InstanceTable {

    /** Enough for all incarnations of an hour in which each of 1,000 upstreams restarts. */
    private static final int MAX_REMEMBERED = 2_000;

    /**
     * The number of silence periods after which an incarnation is gone. A process that was paused
     * or partitioned for a minute may come back under its id.
     */
    private static final int SILENCES_UNTIL_GONE = 20;

    private final Duration silence;
    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, Long> lastReportAt = new HashMap<>();
    private final Set<UpstreamId> draining = new HashSet<>();
    private final Map<UpstreamId, Boolean> gone = new BoundedMap<>();
    private final Map<String, Latest> latest = new BoundedMap<>();

    /**
     * The latest incarnation of a name by its reported start time, and the time of its last report.
     */
    private record Latest(UpstreamId id, long lastReportAt) {}

    /** A map that evicts its oldest entry when it exceeds {@link #MAX_REMEMBERED}. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > MAX_REMEMBERED;
        }
    }

    /**
     * Creates an empty table.
     *
     * @param silence how long an incarnation may send no report before it is marked as silent; it
     *     is gone after 20 times as long
     */
    public InstanceTable(Duration silence) {
        this.silence = silence;
    }

    /**
     * Merges a report, received directly or passed on by another host.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return the instances whose entries have changed, including those that are gone
     */
    public List<Instance> merge(Instance report, long now) {
        if (gone.containsKey(report.id())) {
            return List.of();
        }
        Instance known = instances.get(report.id());
        if (isOfEarlierIncarnation(report.id(), now)) {
            return List.of();
        }
        if (report.state() == InstanceState.GONE) {
            recordLatest(report.id(), now);
            return markGoneWithEarlier(known == null ? report : known);
        }
        if (report.state() == InstanceState.SILENT) {
            return silence(known, report);
        }
        if (known != null && report.sequence() <= known.sequence()) {
            boolean drains = report.state() == InstanceState.DRAINING;
            return drains ? drain(report.id()) : List.of();
        }
        List<Instance> changed = new ArrayList<>();
        if (known == null) {
            List<Instance> displaced = displacedBy(report);
            if (displaced.stream().anyMatch(old -> isStillAlive(old, report, now))) {
                return List.of();
            }
            displaced.forEach(old -> changed.add(markGone(old)));
        }
        lastReportAt.put(report.id(), now);
        recordLatest(report.id(), now);
        boolean drains = draining.contains(report.id());
        Instance next = drains ? report.withState(InstanceState.DRAINING) : report;
        put(next);
        changed.add(next);
        return changed;
    }

    /**
     * Removes an incarnation that has announced its end.
     *
     * @param id the incarnation; an id without a start time matches any known incarnation of the
     *     name
     * @return the removed instance, or an empty list if it was not known
     */
    public List<Instance> remove(UpstreamId id) {
        Instance known = instances.get(id);
        if (known != null) {
            return List.of(markGone(known));
        }
        if (id.bornMillis() == UpstreamId.START_UNKNOWN) {
            Optional<Instance> incarnation = findByName(id.value());
            if (incarnation.isPresent()) {
                return List.of(markGone(incarnation.get()));
            }
        }
        gone.put(id, true);
        return List.of();
    }

    /**
     * Records that another host knows an incarnation to be gone. Other incarnations of its name are
     * not affected.
     *
     * @return the removed instance, or an empty list if it was not known
     */
    public List<Instance> recordGone(UpstreamId id) {
        Instance known = instances.get(id);
        if (known != null) {
            return List.of(markGone(known));
        }
        gone.put(id, true);
        return List.of();
    }

    /**
     * Marks an incarnation as draining.
     *
     * @return the changed instance, or an empty list if nothing changed
     */
    public List<Instance> drain(UpstreamId id) {
        Instance known = instances.get(id);
        if (known == null || draining.contains(id)) {
            return List.of();
        }
        Instance next = known.withState(InstanceState.DRAINING);
        put(next);
        return List.of(next);
    }

    /**
     * Marks incarnations without recent reports as silent, and removes those that have been silent
     * for 20 times as long.
     *
     * @return the changed instances, including those that are gone
     */
    public List<Instance> expire(long now) {
        List<Instance> changed = new ArrayList<>();
        for (Instance instance : List.copyOf(instances.values())) {
            if (!reportedWithin(instance.id(), silence.multipliedBy(SILENCES_UNTIL_GONE), now)) {
                changed.add(markGone(instance));
            } else if (!reportedWithin(instance.id(), silence, now)) {
                changed.addAll(silence(instance, instance));
            }
        }
        return changed;
    }

    /**
     * Restarts the silence timers of all instances. Used when this host itself may have been paused
     * or partitioned.
     */
    public void restartSilenceTimers(long now) {
        lastReportAt.replaceAll((id, at) -> now);
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

    /**
     * Returns the incarnations that are known to be gone, the latest ones where there are many, for
     * hosts that may have missed their end.
     */
    public Collection<UpstreamId> gone() {
        return List.copyOf(gone.keySet());
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

    private void put(Instance instance) {
        instances.put(instance.id(), instance);
        if (instance.state() == InstanceState.DRAINING) {
            draining.add(instance.id());
        }
    }

    private Instance markGone(Instance instance) {
        instances.remove(instance.id());
        lastReportAt.remove(instance.id());
        draining.remove(instance.id());
        gone.put(instance.id(), true);
        return instance.withState(InstanceState.GONE);
    }

    /** Returns the incarnations that a new one replaces: those with its name or its address. */
    private List<Instance> displacedBy(Instance report) {
        return instances.values().stream()
                .filter(
                        other ->
                                other.id().value().equals(report.id().value())
                                        || other.address().equals(report.address()))
                .toList();
    }

    /**
     * Returns whether a known incarnation is kept although another reports in its place. The
     * other's report may have been in transit for seconds.
     */
    private boolean isStillAlive(Instance old, Instance report, long now) {
        return !report.id().startedAfter(old.id())
                && reportedWithin(old.id(), silence.dividedBy(4), now);
    }

    /**
     * Returns whether a later incarnation of the name has reported recently. If its last report is
     * long past, the incarnation is accepted as a new one whose host's clock was set back.
     */
    private boolean isOfEarlierIncarnation(UpstreamId id, long now) {
        Latest newest = latest.get(id.value());
        return newest != null
                && newest.id().startedAfter(id)
                && now - newest.lastReportAt() < silence.dividedBy(4).toNanos();
    }

    private void recordLatest(UpstreamId id, long now) {
        if (id.bornMillis() != UpstreamId.START_UNKNOWN) {
            latest.put(id.value(), new Latest(id, now));
        }
    }

    /** Marks an incarnation as gone, and with it all earlier ones of its name. */
    private List<Instance> markGoneWithEarlier(Instance incarnation) {
        List<Instance> all = new ArrayList<>();
        for (Instance other : List.copyOf(instances.values())) {
            if (incarnation.id().startedAfter(other.id())) {
                all.add(markGone(other));
            }
        }
        all.add(markGone(incarnation));
        return all;
    }

    private Optional<Instance> findByName(String name) {
        return instances.values().stream()
                .filter(instance -> instance.id().value().equals(name))
                .findFirst();
    }

    private boolean reportedWithin(UpstreamId id, Duration period, long now) {
        Long at = lastReportAt.get(id);
        return at != null && now - at < period.toNanos();
    }
}
