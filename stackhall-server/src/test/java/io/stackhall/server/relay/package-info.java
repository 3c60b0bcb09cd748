/** Tests of calls to upstreams, byte by byte. */
package io.stackhall.server.relay;
