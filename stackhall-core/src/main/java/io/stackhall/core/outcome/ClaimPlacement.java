package io.stackhall.core.outcome;

import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ZoneId;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Determines which availability zone holds the claim of a key.
 *
 * <p>A key may name its zone, as in {@code yoff:3f2a}: then that zone holds the claim. Other keys
 * are distributed over the zones by rendezvous hashing. The result depends only on the key and the
 * list of zones, never on what is reachable, so that both sides of a network partition get the same
 * one.
 */
public final class ClaimPlacement {

    private static final char ZONE_SEPARATOR = ':';

    private final List<ZoneId> zones;

    /**
     * Creates the placement for a fixed list of zones.
     *
     * @param zones all availability zones, not empty; the order does not matter
     */
    public ClaimPlacement(List<ZoneId> zones) {
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("claims need at least one zone");
        }
        this.zones = List.copyOf(zones);
    }

    /** Returns the zone that holds the claim of a key. */
    public ZoneId zoneOf(IdempotencyKey key) {
        return namedZone(key).orElseGet(() -> hashedZone(key));
    }

    private Optional<ZoneId> namedZone(IdempotencyKey key) {
        int separator = key.value().indexOf(ZONE_SEPARATOR);
        if (separator <= 0) {
            return Optional.empty();
        }
        String prefix = key.value().substring(0, separator);
        return zones.stream().filter(zone -> zone.value().equals(prefix)).findFirst();
    }

    private ZoneId hashedZone(IdempotencyKey key) {
        ZoneId best = zones.getFirst();
        long bestWeight = -1;
        for (ZoneId zone : zones) {
            long weight = weight(zone, key);
            boolean tieWon = weight == bestWeight && zone.value().compareTo(best.value()) < 0;
            if (weight > bestWeight || tieWon) {
                best = zone;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static long weight(ZoneId zone, IdempotencyKey key) {
        CRC32C checksum = new CRC32C();
        checksum.update(zone.value().getBytes(StandardCharsets.UTF_8));
        checksum.update(0);
        checksum.update(key.value().getBytes(StandardCharsets.UTF_8));
        return mix(checksum.getValue());
    }

    /** Spreads the checksum, whose bits are a linear function of the input. */
    private static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed ^= mixed >>> 32;
        mixed *= 0xD6E8FEB86659FD93L;
        return (mixed ^ (mixed >>> 32)) >>> 1;
    }
}
