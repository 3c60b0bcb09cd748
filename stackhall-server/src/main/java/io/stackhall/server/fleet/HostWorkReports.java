package io.stackhall.server.fleet;

import io.stackhall.core.dispatch.WorkReports;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.Map;

/**
 * What several hosts have said lately of their work at instances: the requests that are there, and
 * the tokens of prompts that are to be read.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class HostWorkReports {

    private final WorkReports requests = new WorkReports();
    private final WorkReports unreadTokens = new WorkReports();

    /** Takes in how many entry hosts there are, by which reports come more or less often. */
    public void setHostCount(int hosts) {
        requests.setHostCount(hosts);
        unreadTokens.setHostCount(hosts);
    }

    /** Takes in what a host says. */
    public void receive(WorkReport report, long now) {
        HostId host = new HostId(report.getHost());
        requests.put(host, WorkCodec.requests(WorkCodec.decode(report)), now);
        unreadTokens.put(host, WorkCodec.unreadTokens(report), now);
    }

    /**
     * Returns the frame in which a host is told the work of all others.
     *
     * @param self who tells it
     */
    public Frame frameExcluding(HostId host, HostId self, long now) {
        return WorkCodec.encodeOthers(
                self, requests.sumExcluding(host, now), unreadTokens.sumExcluding(host, now));
    }

    /** Returns the most requests that any host has said of each instance. */
    public Map<UpstreamId, Integer> maxRequests(long now) {
        return requests.max(now);
    }

    /** Returns the most tokens to be read that any host has said of each instance. */
    public Map<UpstreamId, Integer> maxUnreadTokens(long now) {
        return unreadTokens.max(now);
    }
}
