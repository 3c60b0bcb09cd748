package io.stackhall.core.stream;

import io.stackhall.core.id.SoftwareVersion;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * The versions of a service's software that one host has seen within the life of a stream.
 *
 * @param versions the versions
 * @param othersPossible whether some instance did not tell its version
 * @param watched for how long the host has been watching
 */
public record VersionsSeen(
        Set<SoftwareVersion> versions, boolean othersPossible, Duration watched) {

    /** Of a host that has watched since before any stream can have begun. */
    public static final Duration FROM_THE_BEGINNING = Duration.ofDays(1000);

    /** Creates a copy of the set. */
    public VersionsSeen {
        versions = Set.copyOf(versions);
    }

    /** Returns what a host that has just begun to watch has seen. */
    public static VersionsSeen nothing() {
        return new VersionsSeen(Set.of(), false, Duration.ZERO);
    }

    /** Returns the same of a host that adds what it has seen to what others vouch for. */
    public VersionsSeen withoutOwnWatch() {
        return new VersionsSeen(versions, othersPossible, FROM_THE_BEGINNING);
    }

    /** Returns whether streams may have begun at different versions. */
    public boolean mayMix() {
        return othersPossible || versions.size() > 1;
    }

    /** Returns what this host and another one have seen together, since both have watched. */
    public VersionsSeen and(VersionsSeen other) {
        Set<SoftwareVersion> all = new HashSet<>(versions);
        all.addAll(other.versions);
        return new VersionsSeen(
                all,
                othersPossible || other.othersPossible,
                watched.compareTo(other.watched) < 0 ? watched : other.watched);
    }
}
