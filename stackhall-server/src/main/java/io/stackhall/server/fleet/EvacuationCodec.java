package io.stackhall.server.fleet;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.stream.Collectors;

/** Encodes the evacuated zones for other hosts and for the state of the control group. */
public final class EvacuationCodec {

    private EvacuationCodec() {}

    /** Returns a frame with the evacuated zones. */
    public static Frame frame(EvacuatedZones zones) {
        return Frame.newBuilder().setEvacuated(encode(zones)).build();
    }

    /** Encodes the evacuated zones. */
    public static io.stackhall.rpc.generated.fleet.EvacuatedZones encode(EvacuatedZones zones) {
        return io.stackhall.rpc.generated.fleet.EvacuatedZones.newBuilder()
                .setRevision(zones.revision())
                .addAllZones(zones.zones().stream().map(ZoneId::value).sorted().toList())
                .build();
    }

    /** Decodes the evacuated zones. */
    public static EvacuatedZones decode(io.stackhall.rpc.generated.fleet.EvacuatedZones message) {
        return new EvacuatedZones(
                message.getRevision(),
                message.getZonesList().stream().map(ZoneId::new).collect(Collectors.toSet()));
    }
}
