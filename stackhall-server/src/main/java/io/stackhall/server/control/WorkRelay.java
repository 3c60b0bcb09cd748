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
 * Passes on what entry hosts report of their work and of what they are asked for: those that rely
 * on this control host, summed up, to the other control hosts, and the work of all others to each
 * entry host. Used on one event loop.
 */
final class WorkRelay {

    private final HostId self;
    private final EntryFollowers followers;
    private final Consumer<Frame> toControlHosts;
    private final HostWorkReports works = new HostWorkReports();
    private final ReportAggregator sum = new ReportAggregator();
    private final EmptyReportFilter worksToTell = new EmptyReportFilter();
    private final EmptyReportFilter demandsToTell = new EmptyReportFilter();

    /**
     * Creates a relay to which nobody has reported.
     *
     * @param toControlHosts sends a frame to the other control hosts
     */
    WorkRelay(HostId self, EntryFollowers followers, Consumer<Frame> toControlHosts) {
        this.self = self;
        this.followers = followers;
        this.toControlHosts = toControlHosts;
    }

    /** Takes in how many requests an entry host, or those of another control host, have where. */
    void worked(WorkReport report) {
        long now = BootClock.nanos();
        HostId host = new HostId(report.getHost());
        works.receive(report, now);
        if (followers.isPrimaryOf(host)) {
            sum.addWork(host, WorkCodec.decode(report), now);
            sum.addUnreadTokens(host, WorkCodec.unreadTokens(report), now);
        }
    }

    /** Takes in what an entry host is asked for. */
    void demanded(DemandReport report) {
        HostId host = new HostId(report.getHost());
        if (followers.isPrimaryOf(host)) {
            sum.addDemand(host, WorkCodec.decode(report), BootClock.nanos());
        }
    }

    /** Passes the reports of the entry hosts that rely on this host on to the other ones. */
    void passOn() {
        long now = BootClock.nanos();
        sum.setHostCount(followers.count());
        Map<UpstreamId, InstanceWork> work = sum.takeWork(now);
        if (worksToTell.isDue(!work.isEmpty())) {
            toControlHosts.accept(WorkCodec.encodeOwn(self, work, sum.unreadTokens(now)));
        }
        Map<String, ReportAggregator.Demand> asked = sum.takeDemand(now);
        if (demandsToTell.isDue(!asked.isEmpty())) {
            toControlHosts.accept(WorkCodec.encode(self, asked));
        }
    }

    /** Tells each entry host the work of the others. */
    void tellEntryHosts() {
        followers.tellWork(works);
    }
}
