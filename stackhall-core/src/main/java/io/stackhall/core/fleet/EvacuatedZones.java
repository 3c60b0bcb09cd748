package io.stackhall.core.fleet;

import io.stackhall.core.id.ZoneId;
import java.util.HashSet;
import java.util.Set;

/**
 * The zones that an operator has evacuated. Nothing is sent to the upstreams in them.
 *
 * <p>Each change increments the revision, so that hosts that receive updates in any order agree on
 * the newest.
 *
 * @param revision the number of changes so far
 * @param zones the evacuated zones
 */
public record EvacuatedZones(long revision, Set<ZoneId> zones) {

    /** Creates a set of evacuated zones with a copy of the given set. */
    public EvacuatedZones {
        zones = Set.copyOf(zones);
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " is negative");
        }
    }

    /** Returns the state before any evacuation. */
    public static EvacuatedZones none() {
        return new EvacuatedZones(0, Set.of());
    }

    /** Returns a copy in which the zone is evacuated, or this instance if it already is. */
    public EvacuatedZones with(ZoneId zone) {
        Set<ZoneId> next = new HashSet<>(zones);
        return next.add(zone) ? new EvacuatedZones(revision + 1, next) : this;
    }

    /** Returns a copy in which the zone is not evacuated, or this instance if it is not. */
    public EvacuatedZones without(ZoneId zone) {
        Set<ZoneId> next = new HashSet<>(zones);
        return next.remove(zone) ? new EvacuatedZones(revision + 1, next) : this;
    }

    /** Returns the one of this and another with the higher revision. */
    public EvacuatedZones newer(EvacuatedZones other) {
        return other.revision > revision ? other : this;
    }

    /** Returns whether a zone is evacuated. */
    public boolean contains(ZoneId zone) {
        return zones.contains(zone);
    }
}
