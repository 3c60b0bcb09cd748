package io.stackhall.server.fleet;

import io.stackhall.core.dispatch.WorkReports;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.Map;

/**
 * The recent reports of several hosts about their work at instances: requests in progress, and
 * unread prompt tokens.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class HostWorkReports {

    private final WorkReports requests = new WorkReports();
    private final WorkReports unreadTokens = new WorkReports();

    /** Sets the number of entry hosts, which determines how often they report. */
    public void setHostCount(int hosts) {
        requests.setHostCount(hosts);
        unreadTokens.setHostCount(hosts);
    }

    /**
     * Replaces the report of a host.
     *
     * @param now the monotonic clock, in nanoseconds
     */
    public void receive(WorkReport report, long now) {
        HostId host = new HostId(report.getHost());
        requests.put(host, WorkCodec.requests(WorkCodec.decode(report)), now);
        unreadTokens.put(host, WorkCodec.unreadTokens(report), now);
    }

    /**
     * Returns a frame with the total work of all hosts except the recipient.
     *
     * @param host the recipient
     * @param self the sender
     * @param now the monotonic clock, in nanoseconds
     */
    public Frame frameExcluding(HostId host, HostId self, long now) {
        return WorkCodec.encodeOthers(
                self, requests.sumExcluding(host, now), unreadTokens.sumExcluding(host, now));
    }

    /** Returns the highest number of requests that any host has reported for each instance. */
    public Map<UpstreamId, Integer> maxRequests(long now) {
        return requests.max(now);
    }

    /** Returns the highest number of unread tokens that any host has reported for each instance. */
    public Map<UpstreamId, Integer> maxUnreadTokens(long now) {
        return unreadTokens.max(now);
    }
}
