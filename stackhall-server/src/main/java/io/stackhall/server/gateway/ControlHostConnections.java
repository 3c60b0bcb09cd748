package io.stackhall.server.gateway;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.List;
import java.util.Map;

/** The connections of an entry host to the control hosts. */
interface ControlHostConnections {

    /**
     * Sends a frame to a control host.
     *
     * @return false if the host is not connected
     */
    boolean send(HostId host, Frame frame);

    /** Returns the control hosts that should be connected. */
    List<HostId> known();

    /** Returns the connected control hosts. */
    List<HostId> connected();

    /** Returns the zones of the connected control hosts that have told theirs. */
    Map<HostId, ZoneId> zones();

    /** Sends a frame to every connected control host. */
    default void sendToAll(Frame frame) {
        connected().forEach(host -> send(host, frame));
    }
}
