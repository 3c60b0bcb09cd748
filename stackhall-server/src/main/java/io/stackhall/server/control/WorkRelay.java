package io.stackhall.server.control;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.dispatch.ReportAggregator;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.EmptyReportFilter;
import io.stackhall.server.fleet.HostWorkReports;
import io.stackhall.server.fleet.WorkCodec;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Relays the work and demand that entry hosts report. The reports of the entry hosts whose primary
 * is this control host are summed up for the other control hosts, and each of these entry hosts
 * receives the work of all others. Confined to one event loop.
 */
final class WorkRelay {

    private final HostId self;
    private final EntryFollowers followers;
    private final Consumer<Frame> toControlHosts;
    private final HostWorkReports board = new HostWorkReports();
    private final ReportAggregator aggregator = new ReportAggregator();
    private final EmptyReportFilter workReports = new EmptyReportFilter();
    private final EmptyReportFilter demandReports = new EmptyReportFilter();

    /**
     * Creates a relay without reports.
     *
     * @param toControlHosts sends a frame to the other control hosts
     */
    WorkRelay(HostId self, EntryFollowers followers, Consumer<Frame> toControlHosts) {
        this.self = self;
        this.followers = followers;
        this.toControlHosts = toControlHosts;
    }

    /**
     * Records the requests at each instance, as reported by an entry host or, summed up over its
     * entry hosts, by another control host.
     */
    void receiveWork(WorkReport report) {
        long now = BootClock.nanos();
        HostId host = new HostId(report.getHost());
        board.receive(report, now);
        if (followers.isPrimaryOf(host)) {
            aggregator.addWork(host, WorkCodec.decode(report), now);
            aggregator.addUnreadTokens(host, WorkCodec.unreadTokens(report), now);
        }
    }

    /** Records the demand that an entry host reports. */
    void receiveDemand(DemandReport report) {
        HostId host = new HostId(report.getHost());
        if (followers.isPrimaryOf(host)) {
            aggregator.addDemand(host, WorkCodec.decode(report), BootClock.nanos());
        }
    }

    /** Sends the sums of the reports to the other control hosts. */
    void relayToControlHosts() {
        long now = BootClock.nanos();
        aggregator.setHostCount(followers.count());
        Map<UpstreamId, InstanceWork> work = aggregator.takeWork(now);
        if (workReports.isDue(!work.isEmpty())) {
            toControlHosts.accept(WorkCodec.encodeOwn(self, work, aggregator.unreadTokens(now)));
        }
        Map<String, ReportAggregator.Demand> asked = aggregator.takeDemand(now);
        if (demandReports.isDue(!asked.isEmpty())) {
            toControlHosts.accept(WorkCodec.encode(self, asked));
        }
    }

    /** Sends each entry host the work of the others. */
    void relayToEntryHosts() {
        followers.sendWork(board);
    }
}
