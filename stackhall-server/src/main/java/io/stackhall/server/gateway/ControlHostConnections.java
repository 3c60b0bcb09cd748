package io.stackhall.server.gateway;

import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.List;

/** The connections of an entry host to the control hosts. */
interface ControlHostConnections {

    /** Sends a frame to a control host, if it is connected. */
    boolean send(HostId host, Frame frame);

    /** Returns the control hosts that are connected. */
    List<HostId> connected();

    /** Sends a frame to every control host that is connected. */
    default void sendToAll(Frame frame) {
        connected().forEach(host -> send(host, frame));
    }
}
