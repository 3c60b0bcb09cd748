package io.stackhall.server.settings;

import io.stackhall.core.config.Finding;
import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Reads the settings of a process that finds the others through seeds. */
final class FleetSettingsReader {

    /** The key that tells these settings from those that name every host. */
    static final String MARK = "discovery";

    /** A lower share is taken for a mistake: a process would take minutes to start. */
    private static final double MIN_PROCESSOR_SHARE = 0.01;

    private static final int MINUTE_MILLIS = 60_000;

    /** More than any deployment sends; a larger figure is a slip of the pen. */
    private static final double MOST_RESENDS = 1_000_000;

    /** More tokens than any window of a deployment's whole traffic has. */
    private static final double MOST_SLACK = 1e9;

    private final List<Finding> findings;

    FleetSettingsReader(List<Finding> findings) {
        this.findings = findings;
    }

    Optional<FleetSettings> read(Section root) {
        Optional<HostId> host = root.required("host", HostId::new);
        Optional<ZoneId> zone = root.required("zone", ZoneId::new);
        Optional<Address> peers = root.required("peers", Address::parse);
        Optional<Address> metrics = root.optional("metrics", Address::parse);
        Optional<FleetSettings.Role> role = role(root);
        Section discovery = root.section(MARK);
        List<Address> seeds = discovery.list("seeds", Address::parse);
        boolean firstStart = discovery.number("firstStart", 0, 0, 1) == 1;
        discovery.finish();
        FleetSettings.Limits limits = limits(root.section("limits"));
        root.finish();
        if (seeds.isEmpty()) {
            findings.add(new Finding(discovery.place(), "'seeds' names no host"));
        }
        if (host.isEmpty() || zone.isEmpty() || peers.isEmpty() || role.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new FleetSettings(
                        host.get(),
                        zone.get(),
                        role.get(),
                        peers.get(),
                        seeds,
                        firstStart,
                        limits,
                        metrics));
    }

    private Optional<FleetSettings.Role> role(Section root) {
        boolean entry = root.names().contains("entry");
        boolean control = root.names().contains("control");
        if (entry == control) {
            findings.add(new Finding(root.place(), "needs either 'entry' or 'control'"));
            return Optional.empty();
        }
        return entry ? entry(root.section("entry")) : control(root.section("control"));
    }

    private static Optional<FleetSettings.Role> entry(Section section) {
        Optional<Address> callers = section.required("callers", Address::parse);
        Optional<Address> readiness = section.required("readiness", Address::parse);
        section.finish();
        return callers.isPresent() && readiness.isPresent()
                ? Optional.of(new FleetSettings.Entry(callers.get(), readiness.get()))
                : Optional.empty();
    }

    private static Optional<FleetSettings.Role> control(Section section) {
        Optional<Address> api = section.required("api", Address::parse);
        Optional<Path> folder = section.required("dataFolder", Path::of);
        section.finish();
        return api.isPresent() && folder.isPresent()
                ? Optional.of(new FleetSettings.Control(api.get(), folder.get()))
                : Optional.empty();
    }

    private static FleetSettings.Limits limits(Section section) {
        FleetSettings.Limits limits =
                new FleetSettings.Limits(
                        section.decimalMillis("heartbeatMillis", 1200, 10, MINUTE_MILLIS),
                        section.decimalMillis("stopGraceMillis", 8000, 100, 10 * MINUTE_MILLIS),
                        section.decimalMillis("orderPauseMillis", 3000, 0, MINUTE_MILLIS),
                        section.number("fenceChecked", 0, 0, 1) == 1,
                        section.decimal("retryRatio", 0.2, 0, MOST_RESENDS),
                        section.decimal("retrySlack", 50, 0, MOST_RESENDS),
                        section.decimalMillis("retryWindowMillis", 10_000, 100, MINUTE_MILLIS),
                        section.decimalMillis("storeWindowMillis", 5000, 100, MINUTE_MILLIS),
                        section.number("hostLossesBorne", 1, 0, 100),
                        Optional.of(
                                        section.decimalMillis(
                                                "keyRevocationMillis", 0, 0, MINUTE_MILLIS))
                                .filter(Duration::isPositive),
                        section.decimalMillis("routesStalenessMillis", 2000, 100, MINUTE_MILLIS),
                        tolerance(section),
                        section.decimal("processorShare", 1, MIN_PROCESSOR_SHARE, 1));
        section.finish();
        return limits;
    }

    /** Where nothing is told, no limit is exceeded. */
    private static LimitTolerance tolerance(Section section) {
        return new LimitTolerance(
                section.decimalMillis("limitWindowMillis", 10_000, 100, 10 * MINUTE_MILLIS),
                section.decimal("limitOverage", 0, 0, 1),
                section.decimal("limitSlack", 0, 0, MOST_SLACK));
    }
}
