package io.stackhall.core.routing;

/** How far a request may be sent. */
public enum Reach {
    /** To the upstreams of this zone only: another zone's host has already passed it on. */
    ZONE,
    /** To this zone's upstreams, and to a host of another zone where this one cannot serve it. */
    ALL_ZONES
}
