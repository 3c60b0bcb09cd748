package io.stackhall.server.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Finding;
import io.vavr.control.Either;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What the settings check finds, and where. */
class SettingsReaderTest {

    private static final String GOOD =
            """
            {
              "host": "a",
              "zone": "plateau",
              "dataFolder": "data",
              "callers": "127.0.0.1:8080",
              "upstreams": "127.0.0.1:8081",
              "peers": "127.0.0.1:9000",
              "hosts": [{"host": "a", "zone": "plateau", "peers": "127.0.0.1:9000"}],
              "groups": {"control": ["a"], "zones": {"plateau": ["a"]}}
            }
            """;

    @Test
    void goodSettingsHaveNoFindings() {
        Either<List<Finding>, Settings> settings = SettingsReader.parse(GOOD);
        assertThat(settings.isRight()).as("%s", settings).isTrue();
        assertThat(settings.get().limits().maxBodyBytes()).isEqualTo(1 << 20);
    }

    @Test
    void everythingWrongIsFoundInOnePassWithItsPlace() {
        String bad =
                GOOD.replace("\"host\": \"a\",\n", "\"host\": 7, \"hots\": 1,\n")
                        .replace("127.0.0.1:8080", "localhost:8080")
                        .replace(
                                "\"groups\"",
                                "\"limits\": {\"maxBodyBytes\": 5, \"maxBodyBytes\": \"x\"},"
                                        + " \"groups\"");
        List<String> findings =
                SettingsReader.parse(bad).getLeft().stream().map(Finding::toString).toList();
        assertThat(findings)
                .anyMatch(text -> text.startsWith("2:11 /host: must be a string"))
                .anyMatch(text -> text.contains("/hots: unknown key 'hots'"))
                .anyMatch(text -> text.contains("/callers: 'localhost' is not an IP number"))
                .anyMatch(text -> text.contains("/limits/maxBodyBytes: the key stands twice"))
                .anyMatch(text -> text.contains("/limits/maxBodyBytes: 5 is not in 1024"));
    }

    @Test
    void contradictionsAreFound() {
        String bad =
                GOOD.replace("  \"dataFolder\": \"data\",\n", "")
                        .replace("\"control\": [\"a\"]", "\"control\": [\"a\", \"b\"]")
                        .replace("\"plateau\": [\"a\"]", "\"yoff\": [\"a\"]")
                        .replace("\"callers\": \"127.0.0.1", "\"callers\": \"10.0.0.1");
        List<String> findings =
                SettingsReader.parse(bad).getLeft().stream().map(Finding::message).toList();
        assertThat(findings)
                .contains(
                        "'b' of group 'control' is missing in 'hosts'",
                        "a host of the control group needs 'dataFolder'",
                        "zone 'plateau' is missing in 'groups'",
                        "10.0.0.1:8080 is not on loopback, and no listener has TLS");
    }

    @Test
    void brokenJsonIsReportedWithItsLine() {
        List<Finding> findings = SettingsReader.parse("{\n  \"host\": ,\n}").getLeft();
        assertThat(findings).hasSize(1);
        assertThat(findings.getFirst().toString()).startsWith("2:").contains("not JSON");
    }

    @Property(tries = 500, seed = "20261202")
    void noTextMakesTheReaderFail(@ForAll String text, @ForAll int cut, @ForAll char added) {
        assertThat(SettingsReader.parse(text)).isNotNull();
        int at = Math.floorMod(cut, GOOD.length());
        assertThat(SettingsReader.parse(GOOD.substring(0, at))).isNotNull();
        String changed = GOOD.substring(0, at) + added + GOOD.substring(at + 1);
        assertThat(SettingsReader.parse(changed)).isNotNull();
    }
}
