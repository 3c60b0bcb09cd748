package io.stackhall.server.control;

import io.stackhall.core.id.HostId;
import io.stackhall.server.settings.FleetSettings;
import io.stackhall.server.storage.DataFolder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The hosts that form the control group, as recorded in the data folder of each of them at the very
 * first start. A founder whose process starts again before the group has formed may still form it;
 * one that has lost its disk has lost the record with it, and only joins.
 */
final class FounderRecord {

    private static final String FILE = "founders";

    private FounderRecord() {}

    /**
     * Returns the peer addresses of the founders if this host is one of them with its first disk,
     * else an empty set. Records them at the first start.
     *
     * @throws IOException if the record cannot be read or written
     */
    static Set<String> foundersOf(DataFolder folder, FleetSettings settings) throws IOException {
        Path file = folder.resolve(FILE);
        if (Files.exists(file)) {
            return Set.copyOf(Files.readAllLines(file, StandardCharsets.UTF_8));
        }
        List<HostId> seeds = settings.seedPeers();
        if (!settings.firstStart() || !seeds.contains(settings.peerName())) {
            return Set.of();
        }
        Set<String> founders = seeds.stream().map(HostId::value).collect(Collectors.toSet());
        DataFolder.replace(file, String.join("\n", founders).getBytes(StandardCharsets.UTF_8));
        return founders;
    }
}
