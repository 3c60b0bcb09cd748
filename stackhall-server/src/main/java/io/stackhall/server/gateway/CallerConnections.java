package io.stackhall.server.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The open connections of callers. Used on one event loop, except where noted. */
final class CallerConnections {

    private final Set<CallerConnection> open = new HashSet<>();
    private volatile boolean draining;
    private volatile int count;

    void opened(CallerConnection connection) {
        open.add(connection);
        count = open.size();
    }

    void closed(CallerConnection connection) {
        open.remove(connection);
        count = open.size();
    }

    /** Closes connections after their current answer from now on. */
    void drain() {
        draining = true;
    }

    /** Returns whether connections are closed after their answers. May be called on any thread. */
    boolean isDraining() {
        return draining;
    }

    /** Closes the connections that have no request in progress. */
    void closeIdle() {
        List.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns the number of open connections. May be called on any thread. */
    int count() {
        return count;
    }
}
