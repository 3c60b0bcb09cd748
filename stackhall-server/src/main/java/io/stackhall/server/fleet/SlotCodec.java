package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.slot.SlotLease;
import io.stackhall.core.slot.SlotRequest;
import io.stackhall.rpc.generated.fleet.SlotAsk;
import io.stackhall.rpc.generated.fleet.SlotReply;
import io.stackhall.rpc.generated.peer.Frame;

/** Encodes the messages about slots of brittle upstreams. */
public final class SlotCodec {

    private SlotCodec() {}

    /** Returns the frame in which a host tells what it has and wants. */
    public static Frame encode(SlotRequest request) {
        SlotAsk.Builder message =
                SlotAsk.newBuilder()
                        .setHost(request.host().value())
                        .setUpstream(request.upstream().toString())
                        .setSlots(request.slots())
                        .setInFlight(request.inFlight())
                        .setWaiting(request.waiting())
                        .setAskedAt(request.requestedAt());
        return Frame.newBuilder().setSlotAsk(message).build();
    }

    /** Decodes what a host has and wants. */
    public static SlotRequest request(SlotAsk message) {
        return new SlotRequest(
                new HostId(message.getHost()),
                UpstreamId.parse(message.getUpstream()),
                message.getSlots(),
                message.getInFlight(),
                message.getWaiting(),
                message.getAskedAt());
    }

    /** Returns the frame that tells a host its lease. */
    public static Frame encode(SlotLease lease, HostId leader) {
        SlotReply.Builder message =
                SlotReply.newBuilder()
                        .setLeader(leader.value())
                        .setUpstream(lease.upstream().toString())
                        .setQuota(lease.quota())
                        .setAskedAt(lease.requestedAt());
        return Frame.newBuilder().setSlotReply(message).build();
    }

    /** Decodes a host's lease. */
    public static SlotLease lease(HostId host, SlotReply message) {
        return new SlotLease(
                host,
                UpstreamId.parse(message.getUpstream()),
                message.getQuota(),
                message.getAskedAt());
    }
}
