/** An entry host: callers' requests passed through to upstreams, streams kept whole across them. */
package io.stackhall.server.gateway;
