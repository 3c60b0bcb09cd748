package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the work reports that hosts exchange. */
class WorkReportsTest {

    private static final UpstreamId ENGINE = new UpstreamId("e");
    private static final HostId ONE = new HostId("one");
    private static final HostId TWO = new HostId("two");
    private static final HostId THREE = new HostId("three");
    private static final long NOW = 1;

    private final WorkReports reports = new WorkReports();

    @Test
    void sumExcludesTheHostItself() {
        reports.put(ONE, Map.of(ENGINE, 5), NOW);
        reports.put(TWO, Map.of(ENGINE, 7), NOW);
        reports.put(THREE, Map.of(ENGINE, 11), NOW);
        assertThat(reports.sumExcluding(TWO, NOW)).isEqualTo(Map.of(ENGINE, 16));
    }

    @Test
    void newerReportReplacesTheOlder() {
        reports.put(ONE, Map.of(ENGINE, 5), NOW);
        reports.put(ONE, Map.of(), NOW);
        assertThat(reports.sumExcluding(TWO, NOW)).isEmpty();
    }

    @Test
    void silentHostExpires() {
        reports.put(ONE, Map.of(ENGINE, 5), NOW);
        long later = NOW + Duration.ofMillis(1100).toNanos();
        assertThat(reports.sumExcluding(TWO, later)).isEmpty();
    }

    @Test
    void maxIsTheHighestReportOfAnyHost() {
        reports.put(ONE, Map.of(ENGINE, 5), NOW);
        reports.put(TWO, Map.of(), NOW);
        assertThat(reports.max(NOW)).isEqualTo(Map.of(ENGINE, 5));
    }
}
