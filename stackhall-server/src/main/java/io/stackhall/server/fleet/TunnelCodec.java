package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.path.TunnelHost;
import io.stackhall.rpc.generated.fleet.TunnelHosts;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.List;

/** Encodes the hosts through which an entry host may open tunnels. */
public final class TunnelCodec {

    private TunnelCodec() {}

    /** Returns the frame that names hosts. */
    public static Frame encode(List<TunnelHost> hosts) {
        TunnelHosts.Builder message = TunnelHosts.newBuilder();
        for (TunnelHost host : hosts) {
            message.addHostsBuilder()
                    .setHost(host.id().value())
                    .setZone(host.zone().value())
                    .setImpaired(host.impaired());
        }
        return Frame.newBuilder().setTunnelHosts(message).build();
    }

    /** Returns the hosts that a message names. */
    public static List<TunnelHost> decode(TunnelHosts message) {
        return message.getHostsList().stream()
                .map(
                        host ->
                                new TunnelHost(
                                        new HostId(host.getHost()),
                                        new ZoneId(host.getZone()),
                                        host.getImpaired()))
                .toList();
    }
}
