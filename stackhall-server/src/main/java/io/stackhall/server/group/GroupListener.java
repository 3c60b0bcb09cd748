package io.stackhall.server.group;

/** Hears what happens in a group, on the group's own thread. */
public interface GroupListener {

    /**
     * The state has changed by a committed command or a snapshot. Not told of states that were
     * replaced before this replica began: after a restart the first one told is the newest.
     */
    void changed();

    /** This host's replica has begun or ceased to lead with a lease. */
    void led(boolean leading);
}
