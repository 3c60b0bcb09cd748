package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * How many crashes requests cause, and how many innocent requests are lost, while some requests
 * crash the instances that begin to run them and are sent again every 0.3 s to any host. An
 * innocent request is sent up to four times, as by the most persistent callers, while its instances
 * crash.
 */
class CrashSimulationTest {

    private static final int SEEDS = 50;
    private static final int NOTICE_DELAY_MILLIS = 10;
    private static final int LATE_NOTICE_DELAY_MILLIS = 500;

    @ParameterizedTest
    @CsvSource({
        "1,3,0",
        "2,3,0.001",
        "8,3,0.012",
        "1,6,0",
        "2,6,0.001",
        "8,6,0.012",
        "1,95,0",
        "2,95,0.001",
        "8,95,0.012"
    })
    void crashesAreBoundedAndHardlyAnyInnocentRequestIsRefused(
            int fatal, int hosts, double maxRefusedShare) {
        List<CrashSimulation.Result> results = run(fatal, hosts, NOTICE_DELAY_MILLIS, true);
        print("notices after 10 ms, fatal " + fatal + ", hosts " + hosts, results);
        assertThat(results).allMatch(result -> result.lateCrashes() == 0);
        assertThat(results).allMatch(result -> result.maxCrashes() <= 5);
        assertThat(wronglyRefusedShare(results)).isLessThanOrEqualTo(maxRefusedShare);
    }

    @ParameterizedTest
    @CsvSource({"2,3", "2,95"})
    void lateNoticesCauseMoreCrashesButNotForLong(int fatal, int hosts) {
        List<CrashSimulation.Result> results = run(fatal, hosts, LATE_NOTICE_DELAY_MILLIS, true);
        print("notices after 500 ms, fatal " + fatal + ", hosts " + hosts, results);
        assertThat(results).allMatch(result -> result.lateCrashes() == 0);
    }

    @Test
    void withoutALedgerCrashesGoOn() {
        List<CrashSimulation.Result> results = run(2, 6, NOTICE_DELAY_MILLIS, false);
        print("no ledger, fatal 2, hosts 6", results);
        assertThat(results).allMatch(result -> result.lateCrashes() > 3);
    }

    @ParameterizedTest
    @CsvSource({"0,700", "2,700"})
    void spontaneousCrashesHardlyCondemnInnocentRequests(int fatal, int every) {
        List<CrashSimulation.Result> results =
                run(new CrashSimulation.Scenario(6, fatal, NOTICE_DELAY_MILLIS, true, every));
        print("a spontaneous crash every " + every + " ms, fatal " + fatal, results);
        assertThat(wronglyRefusedShare(results)).isLessThan(0.001);
    }

    @Test
    void withoutCrashingRequestsAllRequestsAreServed() {
        List<CrashSimulation.Result> results = run(0, 6, NOTICE_DELAY_MILLIS, true);
        assertThat(results).allMatch(result -> result.served() == result.innocent());
    }

    private static List<CrashSimulation.Result> run(
            int fatal, int hosts, int noticeDelay, boolean usesLedger) {
        return run(new CrashSimulation.Scenario(hosts, fatal, noticeDelay, usesLedger, 0));
    }

    private static List<CrashSimulation.Result> run(CrashSimulation.Scenario scenario) {
        return IntStream.range(0, SEEDS)
                .mapToObj(seed -> CrashSimulation.run(scenario, seed))
                .toList();
    }

    private static double wronglyRefusedShare(List<CrashSimulation.Result> results) {
        long innocent = results.stream().mapToLong(CrashSimulation.Result::innocent).sum();
        long refused = results.stream().mapToLong(CrashSimulation.Result::wronglyRefused).sum();
        return (double) refused / innocent;
    }

    private static void print(String name, List<CrashSimulation.Result> results) {
        int[] most =
                results.stream().mapToInt(CrashSimulation.Result::maxCrashes).sorted().toArray();
        double served =
                results.stream()
                        .mapToDouble(result -> (double) result.served() / result.innocent())
                        .average()
                        .orElseThrow();
        int refused = results.stream().mapToInt(CrashSimulation.Result::wronglyRefused).sum();
        System.out.printf(
                "%s: crashes by one request: median %d, most %d; innocent served %.4f,"
                        + " wrongly refused %d%n",
                name, most[most.length / 2], most[most.length - 1], served, refused);
    }
}
