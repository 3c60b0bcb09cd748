package io.stackhall.server.training;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A method that each request calls once is compiled after the few requests of a warm-up. */
class EarlyCompilationTest {

    /** Rounds of a warm-up for which the smallest hosts have time before their callers come. */
    private static final int ROUNDS = 16;

    // Methods stayed interpreted until the 128th request, whatever the thresholds said.
    @ParameterizedTest
    @ValueSource(strings = {"entry", "control"})
    void methodThatAFewRequestsHaveCalledIsCompiled(String role) throws Exception {
        String output = runCaller(DeployedRuntime.options(role));
        assertThat(output).contains(Caller.class.getName() + "::step");
    }

    @Test
    void rolesAreFound() throws Exception {
        assertThat(DeployedRuntime.options("entry")).contains("-XX:+UseSerialGC");
    }

    private static String runCaller(List<String> options) throws Exception {
        List<String> all = new ArrayList<>(options);
        all.add("-XX:+PrintCompilation");
        all.add("-cp");
        all.add(System.getProperty("java.class.path"));
        all.add(Caller.class.getName());
        return DeployedRuntime.run(all);
    }

    /** Calls a method once for each round, while the compiler has nothing else to do. */
    static final class Caller {

        private Caller() {}

        public static void main(String[] args) throws InterruptedException {
            TimeUnit.SECONDS.sleep(1);
            int state = args.length;
            for (int round = 0; round < ROUNDS; round++) {
                state = step(state, round);
            }
            TimeUnit.SECONDS.sleep(1);
            if (state == Integer.MIN_VALUE) {
                throw new IllegalStateException("state is " + state);
            }
        }

        private static int step(int state, int round) {
            return round % 2 == 0 ? state * 31 + round : state ^ round;
        }
    }
}
