package io.stackhall.server.settings;

import io.stackhall.core.config.Finding;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.Set;

/** Reads a settings file and finds everything that is wrong with it in one pass. */
public final class SettingsReader {

    private static final int MINUTE_MILLIS = 60_000;
    private static final int DAY_MILLIS = 24 * 60 * MINUTE_MILLIS;
    private static final int MIB = 1 << 20;

    /** What one request in flight takes at most, beside a large body. */
    private static final int BYTES_PER_REQUEST = 64 << 10;

    private final List<Finding> findings = new ArrayList<>();

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @return the settings, or all that is wrong, each with line, column and JSON pointer
     */
    public static Either<List<Finding>, Settings> read(Path file) {
        try {
            return parse(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Either.left(
                    List.of(new Finding(file.toString(), "cannot be read: " + e.getMessage())));
        }
    }

    /**
     * Reads a file of either kind: one that names every host, or one that names seeds.
     *
     * @return the settings, or all that is wrong, each with line, column and JSON pointer
     */
    public static Either<List<Finding>, ProcessSettings> readAny(Path file) {
        try {
            return parseAny(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Either.left(
                    List.of(new Finding(file.toString(), "cannot be read: " + e.getMessage())));
        }
    }

    /** Reads a text of either kind. */
    public static Either<List<Finding>, ProcessSettings> parseAny(String text) {
        List<Finding> findings = new ArrayList<>();
        LocatedJson.Node root = LocatedJson.parse(text, findings);
        boolean seeded =
                root instanceof LocatedJson.ObjectNode object
                        && object.members().containsKey(FleetSettingsReader.MARK);
        if (!seeded) {
            return parse(text).map(settings -> settings);
        }
        Optional<FleetSettings> settings =
                new FleetSettingsReader(findings).read(Section.of(root, findings));
        return findings.isEmpty() && settings.isPresent()
                ? Either.right(settings.get())
                : Either.left(List.copyOf(findings));
    }

    /** Reads a text. */
    public static Either<List<Finding>, Settings> parse(String text) {
        SettingsReader reader = new SettingsReader();
        LocatedJson.Node root = LocatedJson.parse(text, reader.findings);
        if (!reader.findings.isEmpty() && root instanceof LocatedJson.ScalarNode) {
            return Either.left(List.copyOf(reader.findings));
        }
        Optional<Settings> settings = reader.settings(Section.of(root, reader.findings));
        return reader.findings.isEmpty() && settings.isPresent()
                ? Either.right(settings.get())
                : Either.left(List.copyOf(reader.findings));
    }

    private Optional<Settings> settings(Section root) {
        Optional<HostId> host = root.required("host", HostId::new);
        Optional<ZoneId> zone = root.required("zone", ZoneId::new);
        Optional<Path> dataFolder = root.optional("dataFolder", Path::of);
        Optional<Address> callers = root.required("callers", Address::parse);
        Optional<Address> upstreams = root.required("upstreams", Address::parse);
        Optional<Address> peers = root.required("peers", Address::parse);
        Optional<Address> operators = root.optional("operators", Address::parse);
        List<Settings.Host> hosts = hosts(root.sections("hosts"));
        Settings.Groups groups = groups(root.section("groups"));
        Settings.Limits limits = limits(root.section("limits"));
        Settings.Timing timing = timing(root.section("timing"));
        root.finish();
        boolean incomplete =
                host.isEmpty()
                        || zone.isEmpty()
                        || callers.isEmpty()
                        || upstreams.isEmpty()
                        || peers.isEmpty();
        if (incomplete) {
            return Optional.empty();
        }
        Settings settings =
                new Settings(
                        host.get(),
                        zone.get(),
                        dataFolder,
                        callers.get(),
                        upstreams.get(),
                        peers.get(),
                        operators,
                        hosts,
                        groups,
                        limits,
                        timing);
        contradictions(root, settings);
        return Optional.of(settings);
    }

    private List<Settings.Host> hosts(List<Section> sections) {
        List<Settings.Host> hosts = new ArrayList<>();
        for (Section section : sections) {
            Optional<HostId> host = section.required("host", HostId::new);
            Optional<ZoneId> zone = section.required("zone", ZoneId::new);
            Optional<Address> peers = section.required("peers", Address::parse);
            section.finish();
            if (host.isPresent() && zone.isPresent() && peers.isPresent()) {
                hosts.add(new Settings.Host(host.get(), zone.get(), peers.get()));
            }
        }
        return hosts;
    }

    private static Settings.Groups groups(Section section) {
        List<HostId> control = section.list("control", HostId::new);
        SequencedMap<ZoneId, List<HostId>> zones = new LinkedHashMap<>();
        Section byZone = section.section("zones");
        for (String name : byZone.names()) {
            zones.put(new ZoneId(name), byZone.list(name, HostId::new));
        }
        section.finish();
        return new Settings.Groups(control, zones);
    }

    private static Settings.Limits limits(Section section) {
        Settings.Limits limits =
                new Settings.Limits(
                        section.number("maxBodyBytes", MIB, 1024, 64 * MIB),
                        section.number("maxAnswerBytes", 8 * MIB, 1024, 64 * MIB),
                        section.millis("urgentDeadlineMillis", 5000, 1, DAY_MILLIS),
                        section.millis("normalDeadlineMillis", MINUTE_MILLIS, 1, DAY_MILLIS),
                        section.millis("deferredDeadlineMillis", 10 * MINUTE_MILLIS, 1, DAY_MILLIS),
                        section.number("maxWaiting", 2000, 1, 1_000_000),
                        section.number("maxInFlight", inFlightByHeap(), 1, 1_000_000),
                        (long) section.number("leastFreeMiB", 32, 0, 1_000_000_000) * MIB);
        section.finish();
        return limits;
    }

    /** As many as fit into half of the heap. */
    private static int inFlightByHeap() {
        long half = Runtime.getRuntime().maxMemory() / 2;
        return (int) Math.clamp(half / BYTES_PER_REQUEST, 1, 1_000_000);
    }

    private static Settings.Timing timing(Section section) {
        Settings.Timing timing =
                new Settings.Timing(
                        section.millis("electionTimeoutMillis", 1000, 200, MINUTE_MILLIS),
                        section.millis("heartbeatMillis", 150, 10, MINUTE_MILLIS),
                        section.millis("orderLifetimeMillis", MINUTE_MILLIS, 100, DAY_MILLIS),
                        section.millis("upstreamSilenceMillis", 5000, 100, DAY_MILLIS),
                        section.millis("upstreamIdleMillis", 30_000, 100, DAY_MILLIS),
                        section.millis("lateAnswerMillis", 5000, 0, DAY_MILLIS),
                        section.millis("claimRetentionMillis", DAY_MILLIS, 1000, DAY_MILLIS),
                        section.millis("longestRunMillis", 10 * MINUTE_MILLIS, 1000, DAY_MILLIS),
                        section.millis("drainBoundMillis", MINUTE_MILLIS, 0, DAY_MILLIS),
                        section.millis("drainGraceMillis", 2000, 0, MINUTE_MILLIS));
        section.finish();
        return timing;
    }

    private void contradictions(Section root, Settings settings) {
        Set<HostId> names = new HashSet<>();
        for (Settings.Host host : settings.hosts()) {
            if (!names.add(host.host())) {
                find(root, "host '" + host.host() + "' stands twice in 'hosts'");
            }
        }
        Optional<Settings.Host> self = settings.findHost(settings.host());
        if (self.isEmpty()) {
            find(root, "host '" + settings.host() + "' is missing in 'hosts'");
        } else if (!self.get().zone().equals(settings.zone())) {
            find(root, "zone '" + settings.zone() + "' is '" + self.get().zone() + "' in 'hosts'");
        }
        settings.membersByGroup().forEach((group, members) -> members(root, group, members, names));
        if (!settings.groups().zones().containsKey(settings.zone())) {
            find(root, "zone '" + settings.zone() + "' is missing in 'groups'");
        }
        boolean keepsControl = settings.groups().control().contains(settings.host());
        if (keepsControl && settings.dataFolder().isEmpty()) {
            find(root, "a host of the control group needs 'dataFolder'");
        }
        if (settings.timing()
                        .heartbeat()
                        .multipliedBy(3)
                        .compareTo(settings.timing().electionTimeout())
                > 0) {
            find(root, "'heartbeatMillis' must be at most a third of 'electionTimeoutMillis'");
        }
        loopbackOnly(root, settings);
    }

    private void members(Section root, String group, List<HostId> members, Set<HostId> names) {
        if (members.isEmpty()) {
            find(root, "group '" + group + "' has no members");
        }
        for (HostId member : members) {
            if (!names.contains(member)) {
                find(root, "'" + member + "' of group '" + group + "' is missing in 'hosts'");
            }
        }
    }

    /** Nothing is encrypted yet, so that every listener has to stay on the loopback interface. */
    private void loopbackOnly(Section root, Settings settings) {
        List<Address> listeners =
                new ArrayList<>(
                        List.of(settings.callers(), settings.upstreams(), settings.peers()));
        settings.operators().ifPresent(listeners::add);
        for (Address listener : listeners) {
            if (!listener.loopback()) {
                find(root, listener + " is not on loopback, and no listener has TLS");
            }
        }
    }

    private void find(Section section, String message) {
        findings.add(new Finding(section.place(), message));
    }
}
