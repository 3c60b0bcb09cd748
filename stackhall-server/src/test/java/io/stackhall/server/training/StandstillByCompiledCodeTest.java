package io.stackhall.server.training;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The code that a host compiles does not start a full collection, which stops all its threads. */
class StandstillByCompiledCodeTest {

    /** Twice the code that an entry host has compiled after its first three hundred requests. */
    private static final double MIN_ROOM_BYTES = 16e6;

    // Small hosts stood still for over a second, soon after their first callers.
    @ParameterizedTest
    @ValueSource(strings = {"entry", "control"})
    void compiledCodeStartsAFullCollection(String role) throws Exception {
        List<String> arguments = new ArrayList<>(DeployedRuntime.options(role));
        arguments.add("-XX:+PrintFlagsFinal");
        arguments.add("-version");
        String flags = DeployedRuntime.run(arguments);
        double reserved = flag(flags, "ReservedCodeCacheSize");
        double sweptPercentage = flag(flags, "SweeperThreshold");
        assertThat(reserved * sweptPercentage / 100).isGreaterThan(MIN_ROOM_BYTES);
    }

    private static double flag(String flags, String name) {
        Matcher line = Pattern.compile("\\s" + name + "\\s+=\\s+([0-9.]+)").matcher(flags);
        assertThat(line.find()).as(name).isTrue();
        return Double.parseDouble(line.group(1));
    }
}
