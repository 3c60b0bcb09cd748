package io.stackhall.server.standin;

import io.stackhall.server.settings.Address;
import java.util.List;

/**
 * How a stand-in behaves.
 *
 * @param id its name
 * @param zone its availability zone
 * @param address where it listens
 * @param advertised the address that it announces, as {@code host:port}
 * @param announceTo where it announces itself, one after the other
 * @param services the plain services that it runs; none for a model engine
 * @param memoryMib its accelerator memory, in MiB
 * @param reservedMib what it keeps free for KV cache, in MiB
 * @param slots requests that it runs at once
 * @param loadMillis how long a load takes
 * @param firstTokenMillis the time to the first token
 * @param tokenMillis the time between two tokens
 * @param tokens how many tokens an answer has
 * @param fencing whether it refuses orders with old fencing numbers
 */
public record StandInOptions(
        String id,
        String zone,
        Address address,
        String advertised,
        List<Address> announceTo,
        List<String> services,
        long memoryMib,
        long reservedMib,
        int slots,
        long loadMillis,
        long firstTokenMillis,
        long tokenMillis,
        int tokens,
        boolean fencing) {

    /** Copies the lists. */
    public StandInOptions {
        announceTo = List.copyOf(announceTo);
        services = List.copyOf(services);
    }
}
