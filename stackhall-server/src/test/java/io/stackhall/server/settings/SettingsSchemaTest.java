package io.stackhall.server.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.stackhall.core.config.Finding;
import io.stackhall.server.json.Json;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Holds the published JSON Schema of the settings against the reader. */
class SettingsSchemaTest {

    private static final String LEAST =
            """
            {"host": "a", "zone": "z", "dataFolder": "d", "callers": "127.0.0.1:1",
             "upstreams": "127.0.0.1:2", "peers": "127.0.0.1:3",
             "hosts": [{"host": "a", "zone": "z", "peers": "127.0.0.1:3"}],
             "groups": {"control": ["a"], "zones": {"z": ["a"]}}}
            """;

    private JsonNode schema;

    @BeforeEach
    void readSchema() throws IOException {
        try (InputStream in = getClass().getResourceAsStream("/settings.schema.json")) {
            schema = Json.mapper().readTree(in);
        }
    }

    @Test
    void everyKeyOfTheSchemaIsKnownAndEveryRangeIsTheReaders() throws IOException {
        for (String section : List.of("limits", "timing")) {
            JsonNode properties = schema.at("/properties/" + section + "/properties");
            for (Map.Entry<String, JsonNode> property : properties.properties()) {
                long lowest = property.getValue().path("minimum").asLong();
                long highest = property.getValue().path("maximum").asLong();
                String range = "is not in " + lowest + " to " + highest;
                String place = "/" + section + "/" + property.getKey();
                assertThat(findings(section, property.getKey(), highest + 1))
                        .anyMatch(text -> text.contains(place) && text.contains(range));
                assertThat(findings(section, property.getKey(), lowest))
                        .noneMatch(text -> text.contains(place));
            }
        }
    }

    @Test
    void schemaNamesAsManyKeysAsTheSettingsHave() {
        assertThat(schema.at("/properties/limits/properties").size())
                .isEqualTo(Settings.Limits.class.getRecordComponents().length);
        assertThat(schema.at("/properties/timing/properties").size())
                .isEqualTo(Settings.Timing.class.getRecordComponents().length);
        assertThat(schema.at("/properties").size())
                .isEqualTo(Settings.class.getRecordComponents().length);
    }

    @Test
    void everyRequiredKeyIsMissedByTheReader() throws IOException {
        for (JsonNode key : schema.path("required")) {
            ObjectNode without = (ObjectNode) Json.mapper().readTree(LEAST);
            without.remove(key.asText());
            assertThat(SettingsReader.parse(without.toString()).isLeft()).as(key.asText()).isTrue();
        }
        assertThat(SettingsReader.parse(LEAST).isRight()).isTrue();
    }

    private static List<String> findings(String section, String key, long value)
            throws IOException {
        ObjectNode settings = (ObjectNode) Json.mapper().readTree(LEAST);
        settings.putObject(section).put(key, value);
        return SettingsReader.parse(settings.toString())
                .fold(
                        found -> found.stream().map(Finding::toString).toList(),
                        ignored -> List.of());
    }
}
