/** A control host: the replicated configuration, the list of upstreams, and orders to them. */
package io.stackhall.server.control;
