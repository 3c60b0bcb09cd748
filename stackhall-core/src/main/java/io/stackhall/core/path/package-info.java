/**
 * By which path a host reaches its upstreams: on its own connections, or through a tunnel of
 * another host.
 */
package io.stackhall.core.path;
