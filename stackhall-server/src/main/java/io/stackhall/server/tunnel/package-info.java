/**
 * Tunnels: connections to upstreams by way of another host, for a host that does not reach them
 * itself.
 */
package io.stackhall.server.tunnel;
