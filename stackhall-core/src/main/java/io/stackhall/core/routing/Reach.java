package io.stackhall.core.routing;

/** To which zones a request may be sent. */
public enum Reach {
    /** Only to upstreams of this zone: another zone's host has already forwarded it. */
    ZONE,
    /** To upstreams of this zone, or to a host of another zone if this one cannot serve it. */
    ALL_ZONES
}
