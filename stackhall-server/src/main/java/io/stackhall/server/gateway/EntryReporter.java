package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.dispatch.ReportTiming;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.EmptyReportFilter;
import io.stackhall.server.fleet.WorkCodec;
import io.stackhall.server.settings.FleetSettings;
import java.util.Map;

/**
 * Reports an entry host's own requests to its primary control host. An empty report is sent once,
 * then omitted until there is something to report again.
 */
final class EntryReporter {

    private final FleetSettings settings;
    private final Gateway gateway;
    private final ControlSubscriber controlSubscriber;
    private long lastWorkReportAt = BootClock.nanos();
    private int requestCount;
    private final EmptyReportFilter workReports = new EmptyReportFilter();
    private final EmptyReportFilter demandReports = new EmptyReportFilter();

    EntryReporter(FleetSettings settings, Gateway gateway, ControlSubscriber controlSubscriber) {
        this.settings = settings;
        this.gateway = gateway;
        this.controlSubscriber = controlSubscriber;
    }

    /**
     * Reports the requests and unread prompt tokens at each instance, if the interval has passed.
     */
    void reportWork() {
        long now = BootClock.nanos();
        if (now - lastWorkReportAt
                < new ReportTiming(controlSubscriber.entryHostsPerControlHost())
                        .interval()
                        .toNanos()) {
            return;
        }
        lastWorkReportAt = now;
        Map<UpstreamId, InstanceWork> work = gateway.dispatcher().takeWork();
        requestCount = work.values().stream().mapToInt(InstanceWork::requests).sum();
        if (workReports.isDue(!work.isEmpty())) {
            controlSubscriber.sendToPrimary(
                    WorkCodec.encodeOwn(
                            settings.peerName(), work, gateway.dispatcher().unreadTokens()));
        }
    }

    /** Returns how many requests of this host were at all instances at its last report. */
    int requestCount() {
        return requestCount;
    }

    /** Reports the demand for models: arrivals and waiting requests. */
    void reportDemand() {
        DemandReport report =
                gateway.demand().takeReport(settings.peerName().value(), settings.zone().value());
        if (demandReports.isDue(report.getCountsCount() > 0)) {
            controlSubscriber.sendToPrimary(Frame.newBuilder().setDemand(report).build());
        }
    }
}
