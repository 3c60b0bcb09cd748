/** Requests and orders to upstreams over HTTP. */
package io.stackhall.server.upstreams;
