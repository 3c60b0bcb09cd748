package io.stackhall.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.stackhall.server.explain.LogLine;
import java.io.IOException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.core.time.MutableInstant;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

/** Lines that whoever explains a failure reads again. */
class JsonLineLayoutTest {

    private static final long MOMENT_SECONDS = 1_733_184_000L;
    private static final int NANOS = 7_000_000;

    private final JsonLineLayout layout = new JsonLineLayout();
    private final ObjectMapper json = new ObjectMapper();

    @Property
    void anyMessageIsReadAgainAsItWas(@ForAll String message) throws IOException {
        String line = layout.toSerializable(event(message, null));
        assertThat(line).endsWith("}\n").hasLineCount(1);
        assertThat(json.readTree(line).get("message").asText()).isEqualTo(message);
    }

    @Test
    void lineHasTheFieldsThatLogsHaveHadSoFar() throws IOException {
        JsonNode line = json.readTree(layout.toSerializable(event("a.b x=1", null)));
        assertThat(line.get("time").asText()).isEqualTo("2024-12-03T00:00:00.007Z");
        assertThat(line.get("level").asText()).isEqualTo("WARN");
        assertThat(line.get("logger").asText()).isEqualTo("io.stackhall.X");
        assertThat(line.get("thread").asText()).isEqualTo("loop");
        assertThat(line.has("error")).isFalse();
    }

    @Test
    void errorStandsInTheLineWithItsTrace() throws IOException {
        IOException error = new IOException("no\tdisk");
        JsonNode line = json.readTree(layout.toSerializable(event("failed", error)));
        assertThat(line.get("error").asText()).contains("no\tdisk").contains("JsonLineLayoutTest");
    }

    @Test
    void lineIsUnderstoodByTheExplainer() {
        LogLine line =
                LogLine.parse("h", layout.toSerializable(event("request.sent id=7", null)))
                        .orElseThrow();
        assertThat(line.event()).isEqualTo("request.sent");
        assertThat(line.field("id")).isEqualTo("7");
    }

    private static LogEvent event(String message, Throwable thrown) {
        MutableInstant instant = new MutableInstant();
        instant.initFromEpochSecond(MOMENT_SECONDS, NANOS);
        return Log4jLogEvent.newBuilder()
                .setLoggerName("io.stackhall.X")
                .setThreadName("loop")
                .setLevel(Level.WARN)
                .setInstant(instant)
                .setMessage(new SimpleMessage(message))
                .setThrown(thrown)
                .build();
    }
}
