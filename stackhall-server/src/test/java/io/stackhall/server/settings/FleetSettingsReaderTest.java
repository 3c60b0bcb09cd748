package io.stackhall.server.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Finding;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
                    Map.entry("{{tolerate.machines}}", "1"),
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
                .anyMatch(text -> text.contains("not negative"))
                .anyMatch(text -> text.contains("'entry' or 'control'"));
    }

    private static FleetSettings read(String text) {
        return (FleetSettings) SettingsReader.parseAny(text).get();
    }

    /** Fills the template as a process of one role gets it. */
    private static String fill(String present, String absent) throws IOException {
        String text = Files.readString(TEMPLATE);
        text = text.replace("{{#" + present + "}}", "").replace("{{/" + present + "}}", "");
        int from = text.indexOf("{{#" + absent + "}}");
        String end = "{{/" + absent + "}}";
        text = text.substring(0, from) + text.substring(text.indexOf(end) + end.length());
        for (Map.Entry<String, String> gap : COMMON.entrySet()) {
            text = text.replace(gap.getKey(), gap.getValue());
        }
        return text;
    }
}
