package io.stackhall.core.outcome;

import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ZoneId;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Decides which availability zone keeps the claim of a key.
 *
 * <p>A key may name its zone, as in {@code yoff:3f2a}: then that zone keeps it. Any other key is
 * spread over the zones by rendezvous hashing. The answer depends on the key and the list of zones
 * alone, never on what is reachable, so that both sides of a cut give the same one.
 */
public final class ClaimPlacement {

    private static final char ZONE_SEPARATOR = ':';

    private final List<ZoneId> zones;

    /**
     * Creates the decision for a fixed list of zones.
     *
     * @param zones every availability zone, not empty; the order does not matter
     */
    public ClaimPlacement(List<ZoneId> zones) {
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("claims need at least one zone");
        }
        this.zones = List.copyOf(zones);
    }

    /** Returns the zone that keeps the claim of a key. */
    public ZoneId zoneOf(IdempotencyKey key) {
        return namedZone(key).orElseGet(() -> hashedZone(key));
    }

    private Optional<ZoneId> namedZone(IdempotencyKey key) {
        int mark = key.value().indexOf(ZONE_SEPARATOR);
        if (mark <= 0) {
            return Optional.empty();
        }
        String prefix = key.value().substring(0, mark);
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

    /** Spreads the checksum, whose bits are linear in the input. */
    private static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed ^= mixed >>> 32;
        mixed *= 0xD6E8FEB86659FD93L;
        return (mixed ^ (mixed >>> 32)) >>> 1;
    }
}
