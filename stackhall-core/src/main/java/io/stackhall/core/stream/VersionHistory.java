package io.stackhall.core.stream;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which versions of each service's software one host sees, and has seen until recently.
 *
 * <p>Answers the load of a rollout: versions serve side by side for seconds or for days, and one
 * that has gone may have begun streams that are taken up still. An entry host that is out of
 * contact as a version goes may use it on; what it has begun counts from its return.
 *
 * <p>Times are on the monotonic clock, in nanoseconds. Not thread-safe.
 */
public final class VersionHistory {

    /** Bounds the memory; the versions that went first are forgotten first. */
    private static final int MAX_GONE = 1_000;

    private final Map<UpstreamId, Software> present = new HashMap<>();
    private final Map<Software, Integer> presentCounts = new HashMap<>();
    private final Map<Software, Long> goneAt = new LinkedHashMap<>();
    private final EntryHostContacts contacts = new EntryHostContacts();
    private boolean fromTheBeginning;
    private Optional<Long> watchingSince;

    /** The software of an instance; the version is empty if it is not known. */
    private record Software(ServiceName service, Optional<SoftwareVersion> version) {}

    private VersionHistory(boolean fromTheBeginning, Optional<Long> watchingSince) {
        this.fromTheBeginning = fromTheBeginning;
        this.watchingSince = watchingSince;
    }

    /** Creates the history of a host that does not know the instances of the moment yet. */
    public static VersionHistory notWatching() {
        return new VersionHistory(false, Optional.empty());
    }

    /** Creates the history of a host that watches from a time on. */
    public static VersionHistory since(long time) {
        return new VersionHistory(false, Optional.of(time));
    }

    /** Creates the history of a host that starts with its fleet, before which no stream began. */
    public static VersionHistory ofNewFleet() {
        return new VersionHistory(true, Optional.empty());
    }

    /** Records that all instances of the moment are known, and changes will be. */
    public void startWatching(long now) {
        if (watchingSince.isEmpty()) {
            watchingSince = Optional.of(now);
        }
    }

    /**
     * Records that changes may have been missed until now, as some control host was out of reach:
     * versions may have come and gone there unseen.
     */
    public void restartWatching(long now) {
        if (fromTheBeginning || watchingSince.isPresent()) {
            fromTheBeginning = false;
            watchingSince = Optional.of(now);
        }
    }

    /** Records that an entry host is told of changes now. */
    public void inContact(HostId entryHost, long now) {
        contacts.heard(entryHost, now);
    }

    /**
     * Returns whether some version that is gone may still be used by an entry host that is out of
     * contact.
     */
    public boolean mayBeUsedUnseen(long now) {
        return goneAt.entrySet().stream()
                .filter(gone -> !presentCounts.containsKey(gone.getKey()))
                .anyMatch(gone -> contacts.lastUse(gone.getValue(), now) - now >= 0);
    }

    /**
     * Applies a change of an instance.
     *
     * @return whether it is the first of its service with its software
     */
    public boolean update(Instance instance, long now) {
        Software software = new Software(instance.service(), instance.software());
        if (instance.state() == InstanceState.GONE) {
            removePresent(present.remove(instance.id()), now);
            recordGone(software, now);
            return false;
        }
        Software before = present.put(instance.id(), software);
        if (software.equals(before)) {
            return false;
        }
        removePresent(before, now);
        return presentCounts.merge(software, 1, Integer::sum) == 1;
    }

    /**
     * Returns the versions of a service that have been there at some time within a period.
     *
     * @param period the longest life of a stream
     */
    public VersionsSeen seen(ServiceName service, Duration period, long now) {
        Set<SoftwareVersion> versions = new HashSet<>();
        boolean unknown = false;
        for (Software one : softwareWithin(period, now)) {
            if (one.service().equals(service)) {
                unknown |= one.version().isEmpty();
                one.version().ifPresent(versions::add);
            }
        }
        return new VersionsSeen(versions, unknown, watched(now));
    }

    /** Returns for how long the host has been watching without a gap. */
    public Duration watched(long now) {
        return fromTheBeginning
                ? VersionsSeen.FROM_THE_BEGINNING
                : watchingSince.map(since -> Duration.ofNanos(now - since)).orElse(Duration.ZERO);
    }

    private Set<Software> softwareWithin(Duration period, long now) {
        Set<Software> all = new HashSet<>(presentCounts.keySet());
        goneAt.forEach(
                (software, at) -> {
                    if (now - contacts.lastUse(at, now) <= period.toNanos()) {
                        all.add(software);
                    }
                });
        return all;
    }

    private void removePresent(Software software, long now) {
        if (software != null) {
            presentCounts.computeIfPresent(software, (one, count) -> count == 1 ? null : count - 1);
            recordGone(software, now);
        }
    }

    private void recordGone(Software software, long now) {
        goneAt.remove(software);
        goneAt.put(software, now);
        if (goneAt.size() > MAX_GONE) {
            goneAt.remove(goneAt.keySet().iterator().next());
        }
    }
}
