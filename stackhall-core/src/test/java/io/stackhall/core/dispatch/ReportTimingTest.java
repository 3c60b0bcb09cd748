package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Checks that the reports of many hosts stay within what a control host can handle, and remain
 * valid until the next ones are due.
 */
class ReportTimingTest {

    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MAX_PER_SECOND = 200;

    @Test
    void fewHostsReportSevenTimesASecond() {
        assertThat(new ReportTiming(0).interval()).hasMillis(150);
        assertThat(new ReportTiming(30).interval()).hasMillis(150);
        assertThat(new ReportTiming(6).lifetime()).hasSeconds(1);
    }

    @Property
    void controlHostGetsNoMoreReportsThanItCanHandle(
            @ForAll @IntRange(min = 1, max = 1000) int hosts) {
        long millis = new ReportTiming(hosts).interval().toMillis();
        assertThat(hosts * MILLIS_PER_SECOND).isLessThanOrEqualTo(MAX_PER_SECOND * millis);
    }

    @Property
    void oneLostReportDoesNotExpireAHost(@ForAll @IntRange(min = 1, max = 1000) int hosts) {
        ReportTiming timing = new ReportTiming(hosts);
        WorkReports reports = new WorkReports();
        reports.setHostCount(hosts);
        HostId reporter = new HostId("reporter");
        UpstreamId engine = new UpstreamId("engine");
        reports.put(reporter, Map.of(engine, 3), 0);
        long afterOneLost = timing.interval().multipliedBy(2).toNanos();
        assertThat(reports.max(afterOneLost)).containsEntry(engine, 3);
        assertThat(reports.max(timing.lifetime().plus(Duration.ofMillis(1)).toNanos())).isEmpty();
    }

    @Test
    void numberOfHostsIsChecked() {
        assertThatThrownBy(() -> new ReportTiming(-1)).hasMessageContaining("-1");
    }
}
