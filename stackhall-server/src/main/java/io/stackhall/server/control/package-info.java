/**
 * The control host: the replicated configuration, the registry of upstreams, and orders to engines.
 */
package io.stackhall.server.control;
