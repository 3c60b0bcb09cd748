package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.dispatch.ReportTiming;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.NothingOnce;
import io.stackhall.server.fleet.WorkCodec;
import io.stackhall.server.settings.FleetSettings;
import java.util.Map;

/** What an entry host tells the control hosts of its own requests. What is nothing is told once. */
final class EntryReporter {

    private final FleetSettings settings;
    private final Gateway gateway;
    private final ControlSubscriber controlSubscriber;
    private long lastWorkReportAt = BootClock.nanos();
    private final NothingOnce workReports = new NothingOnce();
    private final NothingOnce demandReports = new NothingOnce();

    EntryReporter(FleetSettings settings, Gateway gateway, ControlSubscriber follower) {
        this.settings = settings;
        this.gateway = gateway;
        this.controlSubscriber = follower;
    }

    /** Tells of the requests at each instance, if that is due. */
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
        if (workReports.isDue(!work.isEmpty())) {
            controlSubscriber.sendToPrimary(
                    WorkCodec.encodeOwn(
                            settings.peerName(), work, gateway.dispatcher().unreadTokens()));
        }
    }

    /** Tells of the models that are asked for. */
    void reportDemand() {
        DemandReport report =
                gateway.demand().takeReport(settings.peerName().value(), settings.zone().value());
        if (demandReports.isDue(report.getCountsCount() > 0)) {
            controlSubscriber.sendToPrimary(Frame.newBuilder().setDemand(report).build());
        }
    }
}
