package io.stackhall.core.stream;

import io.stackhall.core.route.Route;

/** Whether a stream that its caller takes up goes on. */
public sealed interface TakeUp {

    /**
     * It goes on at the software that began it.
     *
     * @param evidence what this is known from
     */
    record GoOn(StreamOrigin origin, Evidence evidence) implements TakeUp {}

    /** It is refused, since going on would be a guess. */
    record Refused(Reason reason) implements TakeUp {}

    /** What the origin of a stream is known from. */
    enum Evidence {
        /** This host has recorded it. */
        OWN_RECORD,
        /** A control host has a record of it. */
        RECORD,
        /** The service has had one version for as long as the stream can have lived. */
        SOLE_VERSION
    }

    /** Why a stream does not go on. */
    enum Reason {
        /** Nobody knows the stream, and its service has had several versions. */
        UNKNOWN("nobody knows which software began the stream"),
        /** There are different records of the stream. */
        CONTRADICTORY("records disagree on the software that began the stream"),
        /** The service that began it no longer gets requests of its route. */
        MOVED("another service began the stream");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason in words, for the caller. */
        public String text() {
            return text;
        }
    }

    /** Returns the decision under a route, which may lead to other services than it did. */
    default TakeUp on(Route route) {
        boolean moved = this instanceof GoOn go && !route.leadsTo(go.origin().service());
        return moved ? new Refused(Reason.MOVED) : this;
    }
}
