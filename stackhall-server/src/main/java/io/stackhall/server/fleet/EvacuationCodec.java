package io.stackhall.server.fleet;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.stream.Collectors;

/** Which zones are evacuated, on the wire and in the control group's state. */
public final class EvacuationCodec {

    private EvacuationCodec() {}

    /** Returns the frame that tells which zones are evacuated. */
    public static Frame frame(EvacuatedZones zones) {
        return Frame.newBuilder().setEvacuated(encode(zones)).build();
    }

    /** Encodes which zones are evacuated. */
    public static io.stackhall.rpc.generated.fleet.EvacuatedZones encode(EvacuatedZones zones) {
        return io.stackhall.rpc.generated.fleet.EvacuatedZones.newBuilder()
                .setRevision(zones.revision())
                .addAllZones(zones.zones().stream().map(ZoneId::value).sorted().toList())
                .build();
    }

    /** Decodes which zones are evacuated. */
    public static EvacuatedZones decode(io.stackhall.rpc.generated.fleet.EvacuatedZones message) {
        return new EvacuatedZones(
                message.getRevision(),
                message.getZonesList().stream().map(ZoneId::new).collect(Collectors.toSet()));
    }
}
