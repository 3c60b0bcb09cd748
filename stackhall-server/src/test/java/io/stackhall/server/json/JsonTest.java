package io.stackhall.server.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.stackhall.core.config.Change;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.group.ControlCommand;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How records are written as JSON. */
class JsonTest {

    @Test
    void sealedTypesAreToldApartByNameAndComeBackEqual() {
        ControlCommand command =
                new ControlCommand.ChangeConfiguration(
                        new Change(
                                new ChangeId("c"),
                                "op",
                                1,
                                new Change.ReplaceDeployment(Deployment.empty(), 4)));
        byte[] bytes = Json.write(ControlCommand.class, command);
        assertThat(new String(bytes, StandardCharsets.UTF_8))
                .contains("\"type\":\"ChangeConfiguration\"", "\"id\":\"c\"");
        assertThat(Json.read(ControlCommand.class, bytes)).isEqualTo(command);
    }

    @Test
    void equalConfigurationsGiveEqualBytes() {
        UpstreamId first = new UpstreamId("a");
        UpstreamId second = new UpstreamId("b");
        Configuration one = new Configuration(1, Deployment.empty(), Set.of(first, second));
        Configuration other = new Configuration(1, Deployment.empty(), Set.of(second, first));
        assertThat(Json.write(Configuration.class, one))
                .isEqualTo(Json.write(Configuration.class, other));
    }

    @Test
    void unknownTypeIsRefused() {
        byte[] bytes = "{\"type\":\"Other\"}".getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> Json.read(ControlCommand.class, bytes))
                .isInstanceOf(UncheckedIOException.class);
    }
}
