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

/** What an entry host tells the control hosts of its own requests. What is nothing is told once. */
final class OwnReports {

    private final FleetSettings settings;
    private final Gateway gateway;
    private final ControlFollower follower;
    private long workToldAt = BootClock.nanos();
    private final EmptyReportFilter works = new EmptyReportFilter();
    private final EmptyReportFilter demands = new EmptyReportFilter();

    OwnReports(FleetSettings settings, Gateway gateway, ControlFollower follower) {
        this.settings = settings;
        this.gateway = gateway;
        this.follower = follower;
    }

    /** Tells of the requests at each instance, if that is due. */
    void tellWork() {
        long now = BootClock.nanos();
        if (now - workToldAt < new ReportTiming(follower.sharing()).interval().toNanos()) {
            return;
        }
        workToldAt = now;
        Map<UpstreamId, InstanceWork> work = gateway.dispatcher().takeWork();
        if (works.isDue(!work.isEmpty())) {
            follower.tellPrimary(
                    WorkCodec.encodeOwn(
                            settings.peerName(), work, gateway.dispatcher().unreadTokens()));
        }
    }

    /** Tells of the models that are asked for. */
    void tellDemand() {
        DemandReport report =
                gateway.demand().take(settings.peerName().value(), settings.zone().value());
        if (demands.isDue(report.getCountsCount() > 0)) {
            follower.tellPrimary(Frame.newBuilder().setDemand(report).build());
        }
    }
}
