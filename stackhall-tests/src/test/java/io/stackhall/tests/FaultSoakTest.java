package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.FaultSoak;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Kills, freezes, stops and hang-ups in series and upon each other, drawn by a seed. Two seeds run
 * with the other tests; {@code -Dbench.options=-Dsoak.seeds=3,4,5} runs others.
 */
class FaultSoakTest {

    private static final String SEEDS = System.getProperty("soak.seeds", "1,2");
    private static final Duration LASTS =
            Duration.ofSeconds(Integer.getInteger("soak.seconds", 25));

    @TempDir private Path folder;

    static LongStream seeds() {
        return Arrays.stream(SEEDS.split(",")).mapToLong(Long::parseLong);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void promisesHoldUnderTrouble(long seed) throws Exception {
        Path logs = Files.createDirectory(folder.resolve("seed-" + seed));
        try (FaultSoak soak = new FaultSoak(logs, seed)) {
            List<String> broken = soak.run(LASTS);
            System.out.println("soak seed=" + seed + " " + soak.account());
            assertThat(broken).as("seed %d", seed).isEmpty();
        }
    }
}
