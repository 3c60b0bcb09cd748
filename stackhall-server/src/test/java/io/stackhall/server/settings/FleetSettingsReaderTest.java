package io.stackhall.server.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Finding;
import io.stackhall.core.customer.LimitTolerance;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Settings that name seeds, and the template from which the platform fills them. */
class FleetSettingsReaderTest {

    private static final Path TEMPLATE = Path.of("../platform/settings.template");

    private static final Map<String, String> COMMON =
            Map.ofEntries(
                    Map.entry("{{node|json}}", "\"front-1\""),
                    Map.entry("{{zone|json}}", "\"plateau\""),
                    Map.entry("{{ip}}", "10.1.0.38"),
                    Map.entry("{{internal-ports.0}}", "7380"),
                    Map.entry("{{heartbeat-ms}}", "1200"),
                    Map.entry("{{bounds.grace-s}}", "8"),
                    Map.entry("{{bounds.lease-ms}}", "3000"),
                    Map.entry("{{bounds.retry-budget-ratio}}", "0.2"),
                    Map.entry("{{bounds.budget-slack}}", "52"),
                    Map.entry("{{bounds.budget-window-s}}", "10"),
                    Map.entry("{{bounds.ceiling-window-s}}", "5"),
                    Map.entry("{{bounds.revoke-ms}}", "5000"),
                    Map.entry("{{bounds.config-apply-ms}}", "1700"),
                    Map.entry("{{bounds.quota-window-s}}", "8"),
                    Map.entry("{{bounds.quota-overage}}", "0.1"),
                    Map.entry("{{bounds.quota-slack}}", "17000"),
                    Map.entry("{{tolerate.machines}}", "1"),
                    Map.entry("{{limits.cpu-share}}", "0.36"),
                    Map.entry(
                            "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
                            "\"10.1.0.40:8144\",\"10.2.0.43:8144\""),
                    Map.entry("{{#bootstrap}}1{{/bootstrap}}{{^bootstrap}}0{{/bootstrap}}", "1"),
                    Map.entry(
                            "{{#bounds.require-fencing}}1{{/bounds.require-fencing}}"
                                    + "{{^bounds.require-fencing}}0{{/bounds.require-fencing}}",
                            "1"),
                    Map.entry("{{listen.front}}", "10.1.0.38:8149"),
                    Map.entry("{{listen.ready}}", "10.1.0.38:8141"),
                    Map.entry("{{listen.control}}", "10.1.0.40:8144"),
                    Map.entry("{{data-dir|json}}", "\"/data/x\""));

    @Test
    void filledTemplateOfAnEntryHostIsRead() throws IOException {
        FleetSettings settings = read(fill("listen.front", "listen.control"));
        assertThat(settings.role())
                .isEqualTo(
                        new FleetSettings.Entry(
                                Address.parse("10.1.0.38:8149"), Address.parse("10.1.0.38:8141")));
        assertThat(settings.firstStart()).isTrue();
        assertThat(settings.limits().retryRatio()).isEqualTo(0.2);
        assertThat(settings.limits().stopGrace()).hasSeconds(8);
        assertThat(settings.limits().fenceChecked()).isTrue();
        assertThat(settings.limits().routesStaleness()).hasMillis(1700);
        assertThat(settings.limits().processorShare()).isEqualTo(0.36);
        assertThat(settings.seedPeers())
                .extracting(Object::toString)
                .containsExactly("10.1.0.40:7380", "10.2.0.43:7380");
    }

    @Test
    void filledTemplateOfAControlHostIsRead() throws IOException {
        FleetSettings settings = read(fill("listen.control", "listen.front"));
        assertThat(settings.control().orElseThrow().dataFolder()).isEqualTo(Path.of("/data/x"));
    }

    @Test
    void boundsOfCustomersAreReadWhereTheyAreTold() throws IOException {
        String text = fill("listen.front", "listen.control");
        FleetSettings.Limits told = read(text).limits();
        assertThat(told.keyRevocation()).contains(Duration.ofSeconds(5));
        assertThat(told.limitTolerance())
                .isEqualTo(new LimitTolerance(Duration.ofSeconds(8), 0.1, 17_000));
        String less =
                without(
                        without(fillKeepingBounds(), "bounds.revoke-strict"),
                        "bounds.quota-window-s");
        FleetSettings.Limits untold = read(less).limits();
        assertThat(untold.keyRevocation()).isEmpty();
        assertThat(untold.limitTolerance().slack()).isZero();
    }

    @Test
    void figuresMayBeFractions() throws IOException {
        Map<String, String> fractions =
                Map.of(
                        "{{heartbeat-ms}}", "1200.5",
                        "{{bounds.grace-s}}", "7.25",
                        "{{bounds.lease-ms}}", "2999.75",
                        "{{bounds.budget-slack}}", "11.7",
                        "{{bounds.budget-window-s}}", "2.5",
                        "{{bounds.ceiling-window-s}}", "0.5",
                        "{{tolerate.machines}}", "2.0");
        FleetSettings.Limits limits =
                read(fill("listen.front", "listen.control", fractions)).limits();
        assertThat(limits.heartbeat()).isEqualTo(Duration.ofNanos(1_200_500_000));
        assertThat(limits.stopGrace()).hasMillis(7250);
        assertThat(limits.orderPause()).isEqualTo(Duration.ofNanos(2_999_750_000L));
        assertThat(limits.retrySlack()).isEqualTo(11.7);
        assertThat(limits.retryWindow()).hasMillis(2500);
        assertThat(limits.storeWindow()).hasMillis(500);
        assertThat(limits.hostLossesBorne()).isEqualTo(2);
    }

    @Test
    void figuresMayBeWholeAndLarge() throws IOException {
        Map<String, String> large =
                Map.of(
                        "{{heartbeat-ms}}", "60000",
                        "{{bounds.grace-s}}", "600",
                        "{{bounds.lease-ms}}", "60000",
                        "{{bounds.budget-slack}}", "1000000",
                        "{{bounds.budget-window-s}}", "60",
                        "{{bounds.ceiling-window-s}}", "60",
                        "{{tolerate.machines}}", "100");
        FleetSettings.Limits limits = read(fill("listen.front", "listen.control", large)).limits();
        assertThat(limits.stopGrace()).hasSeconds(600);
        assertThat(limits.retrySlack()).isEqualTo(1_000_000);
        assertThat(limits.hostLossesBorne()).isEqualTo(100);
    }

    @Test
    void countThatIsNoWholeNumberIsRefusedByItsValue() {
        assertThat(findings("{\"hostLossesBorne\": 1.5}"))
                .anyMatch(text -> text.contains("1.5 is no whole number"));
    }

    @Test
    void figureOutOfItsRangeIsRefusedByItsValue() {
        assertThat(findings("{\"stopGraceMillis\": 12.5, \"retrySlack\": 1e9}"))
                .anyMatch(text -> text.contains("12.5 is not in 100.0 to"))
                .anyMatch(text -> text.contains("1e9 is not in 0.0 to"));
    }

    @Test
    void everythingThatIsWrongIsFoundTogether() {
        List<Finding> findings =
                SettingsReader.parseAny(
                                """
                                {"host": "", "zone": "z", "peers": "nowhere", "surplus": 1,
                                 "discovery": {"seeds": []}, "limits": {"retryRatio": -1}}
                                """)
                        .getLeft();
        assertThat(findings)
                .extracting(Finding::message)
                .anyMatch(text -> text.contains("host must have"))
                .anyMatch(text -> text.contains("nowhere"))
                .anyMatch(text -> text.contains("surplus"))
                .anyMatch(text -> text.contains("names no host"))
                .anyMatch(text -> text.contains("-1 is not in 0.0 to"))
                .anyMatch(text -> text.contains("'entry' or 'control'"));
    }

    private static List<String> findings(String limits) {
        String text =
                """
                {"host": "h", "zone": "z", "peers": "10.1.0.1:7380",
                 "entry": {"callers": "10.1.0.1:1", "readiness": "10.1.0.1:2"},
                 "discovery": {"seeds": ["10.1.0.2:3"]}, "limits": %s}
                """
                        .formatted(limits);
        return SettingsReader.parseAny(text).getLeft().stream().map(Finding::message).toList();
    }

    private static FleetSettings read(String text) {
        return (FleetSettings) SettingsReader.parseAny(text).get();
    }

    /** Fills the template as a process of one role gets it. */
    private static String fill(String present, String absent) throws IOException {
        return fill(present, absent, Map.of());
    }

    private static String fill(String present, String absent, Map<String, String> other)
            throws IOException {
        String text = with(Files.readString(TEMPLATE), present);
        text = with(text, "bounds.config-apply-ms");
        text = with(with(without(text, absent), "bounds.revoke-strict"), "bounds.quota-window-s");
        return fillGaps(text, other);
    }

    private static String fillKeepingBounds() throws IOException {
        String text = with(Files.readString(TEMPLATE), "listen.front");
        text = without(text, "bounds.config-apply-ms");
        return fillGaps(without(text, "listen.control"), Map.of());
    }

    private static String with(String text, String section) {
        return text.replace("{{#" + section + "}}", "").replace("{{/" + section + "}}", "");
    }

    private static String without(String text, String section) {
        int from = text.indexOf("{{#" + section + "}}");
        String end = "{{/" + section + "}}";
        return text.substring(0, from) + text.substring(text.indexOf(end) + end.length());
    }

    private static String fillGaps(String text, Map<String, String> other) {
        String filled = text;
        for (Map.Entry<String, String> gap : COMMON.entrySet()) {
            String value = other.getOrDefault(gap.getKey(), gap.getValue());
            filled = filled.replace(gap.getKey(), value);
        }
        return filled;
    }
}
