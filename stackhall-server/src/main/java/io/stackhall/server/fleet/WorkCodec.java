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

/** Encodes and decodes how many requests hosts have at instances. */
public final class WorkCodec {

    private WorkCodec() {}

    /** Returns the frame in which an entry host tells of its own work. */
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

    /** Returns the frame in which a control host tells of the work of others. */
    public static Frame encodeOthers(
            HostId host, Map<UpstreamId, Integer> requests, Map<UpstreamId, Integer> unread) {
        Map<UpstreamId, InstanceWork> work = new HashMap<>();
        requests.forEach((id, count) -> work.put(id, new InstanceWork(count, 0, 0)));
        return encodeOwn(host, work, unread);
    }

    /** Returns the frame in which a control host tells what its entry hosts are asked for. */
    public static Frame encode(HostId host, Map<String, ReportAggregator.Demand> asked) {
        DemandReport.Builder report = DemandReport.newBuilder().setHost(host.value());
        asked.forEach(
                (name, one) ->
                        report.addCounts(
                                DemandCount.newBuilder()
                                        .setModel(name)
                                        .setArrivals(one.arrivals())
                                        .setWaiting(one.waiting())));
        return Frame.newBuilder().setDemand(report).build();
    }

    /** Returns what a host is asked for, by model or model and adapter. */
    public static Map<String, ReportAggregator.Demand> decode(DemandReport report) {
        Map<String, ReportAggregator.Demand> asked = new HashMap<>();
        for (DemandCount count : report.getCountsList()) {
            asked.put(
                    count.getModel(),
                    new ReportAggregator.Demand(count.getArrivals(), count.getWaiting()));
        }
        return asked;
    }

    /** Returns the requests by instance. */
    public static Map<UpstreamId, Integer> requests(Map<UpstreamId, InstanceWork> work) {
        Map<UpstreamId, Integer> requests = new HashMap<>();
        work.forEach((id, one) -> requests.put(id, one.requests()));
        return requests;
    }

    /** Returns the tokens of prompts that are not read yet, by instance. */
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

    /** Returns the work by instance. */
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
