package io.stackhall.server.gateway;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.peer.PeerTransport;
import java.util.List;
import java.util.Map;

/** The connections that this host keeps to the control hosts. */
record LinkedControlHosts(PeerTransport transport, ControlHosts controlHosts)
        implements ControlHostConnections {

    @Override
    public boolean send(HostId host, Frame frame) {
        return transport.send(host, frame);
    }

    @Override
    public List<HostId> known() {
        return controlHosts.knownHosts();
    }

    @Override
    public List<HostId> connected() {
        return controlHosts.knownHosts().stream().filter(transport::connected).toList();
    }

    @Override
    public Map<HostId, ZoneId> zones() {
        return controlHosts.connected();
    }
}
