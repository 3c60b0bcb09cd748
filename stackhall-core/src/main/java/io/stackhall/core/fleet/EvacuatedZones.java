package io.stackhall.core.fleet;

import io.stackhall.core.id.ZoneId;
import java.util.HashSet;
import java.util.Set;

/**
 * The zones to whose upstreams nothing is sent, as an operator has ordered.
 *
 * <p>Each change has a revision, so that hosts that are told in any order agree on the newest.
 *
 * @param revision how many changes there have been
 * @param zones the zones that are evacuated
 */
public record EvacuatedZones(long revision, Set<ZoneId> zones) {

    /** Copies the set. */
    public EvacuatedZones {
        zones = Set.copyOf(zones);
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " is negative");
        }
    }

    /** Returns the state before any order. */
    public static EvacuatedZones none() {
        return new EvacuatedZones(0, Set.of());
    }

    /** Returns this with a zone evacuated; the same where it is already. */
    public EvacuatedZones with(ZoneId zone) {
        Set<ZoneId> next = new HashSet<>(zones);
        return next.add(zone) ? new EvacuatedZones(revision + 1, next) : this;
    }

    /** Returns this without a zone; the same where it is not evacuated. */
    public EvacuatedZones without(ZoneId zone) {
        Set<ZoneId> next = new HashSet<>(zones);
        return next.remove(zone) ? new EvacuatedZones(revision + 1, next) : this;
    }

    /** Returns the newer of this and another. */
    public EvacuatedZones newer(EvacuatedZones other) {
        return other.revision > revision ? other : this;
    }

    /** Returns whether nothing is sent to the upstreams of a zone. */
    public boolean contains(ZoneId zone) {
        return zones.contains(zone);
    }
}
