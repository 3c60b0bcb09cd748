package io.stackhall.server.fleet;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.dispatch.ReportAggregator;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.DemandCount;
import io.stackhall.rpc.generated.peer.DemandReport;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.HashMap;
import java.util.Map;

/** Encodes the reports of hosts about their work at instances and the demand for models. */
public final class WorkCodec {

    private WorkCodec() {}

    /** Returns a frame in which an entry host reports its own work. */
    public static Frame encodeOwn(
            HostId host, Map<UpstreamId, InstanceWork> work, Map<UpstreamId, Integer> unread) {
        WorkReport.Builder report = WorkReport.newBuilder().setHost(host.value());
        work.forEach(
                (id, one) ->
                        report.addWork(
                                io.stackhall.rpc.generated.fleet.InstanceWork.newBuilder()
                                        .setInstance(id.toString())
                                        .setRequests(one.requests())
                                        .setAnswered(one.answered())
                                        .setSlow(one.slow())
                                        .setUnreadTokens(unread.getOrDefault(id, 0))));
        return Frame.newBuilder().setWork(report).build();
    }

    /** Returns a frame in which a control host reports the total work of other hosts. */
    public static Frame encodeOthers(
            HostId host, Map<UpstreamId, Integer> requests, Map<UpstreamId, Integer> unread) {
        Map<UpstreamId, InstanceWork> work = new HashMap<>();
        requests.forEach((id, count) -> work.put(id, new InstanceWork(count, 0, 0)));
        return encodeOwn(host, work, unread);
    }

    /** Returns a frame in which a control host reports the demand at its entry hosts. */
    public static Frame encode(HostId host, Map<String, ReportAggregator.Demand> demand) {
        DemandReport.Builder report = DemandReport.newBuilder().setHost(host.value());
        demand.forEach(
                (name, one) ->
                        report.addCounts(
                                DemandCount.newBuilder()
                                        .setModel(name)
                                        .setArrivals(one.arrivals())
                                        .setWaiting(one.waiting())));
        return Frame.newBuilder().setDemand(report).build();
    }

    /** Returns the demand at a host, by model or by model and adapter. */
    public static Map<String, ReportAggregator.Demand> decode(DemandReport report) {
        Map<String, ReportAggregator.Demand> demand = new HashMap<>();
        for (DemandCount count : report.getCountsList()) {
            demand.put(
                    count.getModel(),
                    new ReportAggregator.Demand(count.getArrivals(), count.getWaiting()));
        }
        return demand;
    }

    /** Returns the number of requests at each instance. */
    public static Map<UpstreamId, Integer> requests(Map<UpstreamId, InstanceWork> work) {
        Map<UpstreamId, Integer> requests = new HashMap<>();
        work.forEach((id, one) -> requests.put(id, one.requests()));
        return requests;
    }

    /** Returns the number of unread prompt tokens at each instance. */
    public static Map<UpstreamId, Integer> unreadTokens(WorkReport report) {
        Map<UpstreamId, Integer> unread = new HashMap<>();
        report.getWorkList()
                .forEach(
                        item ->
                                unread.put(
                                        UpstreamId.parse(item.getInstance()),
                                        item.getUnreadTokens()));
        return unread;
    }

    /** Returns the work at each instance. */
    public static Map<UpstreamId, InstanceWork> decode(WorkReport report) {
        Map<UpstreamId, InstanceWork> work = new HashMap<>();
        report.getWorkList()
                .forEach(
                        item ->
                                work.put(
                                        UpstreamId.parse(item.getInstance()),
                                        new InstanceWork(
                                                item.getRequests(),
                                                item.getAnswered(),
                                                item.getSlow())));
        return work;
    }
}
