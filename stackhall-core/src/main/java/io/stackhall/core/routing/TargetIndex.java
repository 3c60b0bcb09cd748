package io.stackhall.core.routing;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Resident;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Index of upstreams by id and by the targets that they can serve. */
final class TargetIndex {

    private final RoutingSettings settings;
    private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
    private final Map<Target, List<UpstreamState>> byTarget = new HashMap<>();

    TargetIndex(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Applies an announcement and returns the state of its upstream. */
    UpstreamState announced(Announcement announcement, long now) {
        UpstreamState known = states.get(announcement.id());
        boolean sameTargets = false;
        if (known == null) {
            known = new UpstreamState(settings, announcement, now);
            states.put(announcement.id(), known);
        } else {
            sameTargets = targetsOf(known.report()).equals(targetsOf(announcement));
            known.report(announcement);
        }
        if (!sameTargets) {
            index(known);
        }
        return known;
    }

    void lost(UpstreamId upstream) {
        states.remove(upstream);
        byTarget.values().forEach(list -> list.removeIf(state -> state.id().equals(upstream)));
    }

    Optional<UpstreamState> find(UpstreamId upstream) {
        return Optional.ofNullable(states.get(upstream));
    }

    Collection<UpstreamState> all() {
        return states.values();
    }

    /** Returns the upstreams that can serve a target, regardless of their health. */
    List<UpstreamState> upstreamsFor(Target target) {
        return byTarget.getOrDefault(target, List.of());
    }

    /** Returns whether an upstream with accelerators accepts new requests. */
    boolean hasEngine(long now) {
        return states.values().stream().anyMatch(state -> isAvailableEngine(state, now));
    }

    /** Returns the upstreams with accelerators that accept new requests. */
    List<UpstreamState> engines(long now) {
        return states.values().stream().filter(state -> isAvailableEngine(state, now)).toList();
    }

    private static boolean isAvailableEngine(UpstreamState state, long now) {
        return state.report().memory().accelerators() > 0 && state.takesNewWork(now);
    }

    private void index(UpstreamState state) {
        byTarget.values().forEach(list -> list.remove(state));
        for (Target target : targetsOf(state.report())) {
            byTarget.computeIfAbsent(target, key -> new ArrayList<>()).add(state);
        }
    }

    /**
     * Both an adapter and its base are reported; an adapter is only served where its base is
     * resident.
     */
    private static Set<Target> targetsOf(Announcement announcement) {
        Set<Target> targets = new HashSet<>();
        for (ServiceName service : announcement.services()) {
            targets.add(new Target.Service(service));
        }
        for (Resident resident : announcement.memory().resident()) {
            targets.add(new Target.Model(resident.artifact().id()));
        }
        return targets;
    }
}
