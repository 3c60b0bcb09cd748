/** Sends HTTP requests to upstreams over kept connections, and tells what becomes of each. */
package io.stackhall.server.relay;
