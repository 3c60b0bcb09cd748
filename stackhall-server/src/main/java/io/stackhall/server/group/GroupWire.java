package io.stackhall.server.group;

import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Message;

/** Carries what a replica says to other hosts. Everything may be lost. */
public interface GroupWire {

    /** Sends a message to the host of its receiver. */
    void send(String group, Message message);

    /** Sends a hello to every other host of the group. */
    void announce(String group, Hello hello);

    /** Sends a hello to one host of the group. */
    void answer(String group, String host, Hello hello);
}
