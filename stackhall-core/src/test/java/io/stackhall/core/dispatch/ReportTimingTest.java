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

/** Reports of many hosts stay within what a control host can take, and are believed until then. */
class ReportTimingTest {

    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MAX_PER_SECOND = 200;

    @Test
    void fewHostsTellSevenTimesASecond() {
        assertThat(new ReportTiming(0).interval()).hasMillis(150);
        assertThat(new ReportTiming(30).interval()).hasMillis(150);
        assertThat(new ReportTiming(6).lifetime()).hasSeconds(1);
    }

    @Property
    void noControlHostTakesMoreThanItCan(@ForAll @IntRange(min = 1, max = 1000) int hosts) {
        long millis = new ReportTiming(hosts).interval().toMillis();
        assertThat(hosts * MILLIS_PER_SECOND).isLessThanOrEqualTo(MAX_PER_SECOND * millis);
    }

    @Property
    void oneLostReportDoesNotSilenceAHost(@ForAll @IntRange(min = 1, max = 1000) int hosts) {
        ReportTiming pace = new ReportTiming(hosts);
        WorkReports works = new WorkReports();
        works.setHostCount(hosts);
        HostId teller = new HostId("teller");
        UpstreamId engine = new UpstreamId("engine");
        works.put(teller, Map.of(engine, 3), 0);
        long afterOneLost = pace.interval().multipliedBy(2).toNanos();
        assertThat(works.max(afterOneLost)).containsEntry(engine, 3);
        assertThat(works.max(pace.lifetime().plus(Duration.ofMillis(1)).toNanos())).isEmpty();
    }

    @Test
    void numberOfHostsIsChecked() {
        assertThatThrownBy(() -> new ReportTiming(-1)).hasMessageContaining("-1");
    }
}
