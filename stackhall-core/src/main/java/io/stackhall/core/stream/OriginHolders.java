package io.stackhall.core.stream;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Selects the control hosts that remember a stream: one of the entry host's own availability zone,
 * and one of another, so that neither a killed host nor a lost zone takes both.
 *
 * <p>Two copies instead of one at every control host keep the traffic between zones to one small
 * message for each stream, whatever the number of control hosts.
 */
public final class OriginHolders {

    /** Spreads streams over the control hosts of other zones. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private OriginHolders() {}

    /**
     * Returns the holders of a stream, at most two.
     *
     * @param own the zone of the entry host that received the first event
     * @param connected the control hosts that it is connected to, with their zones
     */
    public static List<HostId> select(StreamKey key, ZoneId own, Map<HostId, ZoneId> connected) {
        Optional<HostId> first =
                best(key, connected, host -> connected.get(host).equals(own))
                        .or(() -> best(key, connected, host -> true));
        if (first.isEmpty()) {
            return List.of();
        }
        ZoneId zone = connected.get(first.get());
        Optional<HostId> second =
                best(key, connected, host -> !connected.get(host).equals(zone))
                        .or(() -> best(key, connected, host -> !host.equals(first.get())));
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    private static Optional<HostId> best(
            StreamKey key, Map<HostId, ZoneId> connected, Predicate<HostId> allowed) {
        return connected.keySet().stream()
                .filter(allowed)
                .min(
                        Comparator.comparingLong((HostId host) -> rank(key, host))
                                .thenComparing(HostId::value));
    }

    private static long rank(StreamKey key, HostId host) {
        long mixed = (key.value() ^ host.value().hashCode()) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 32);
    }
}
