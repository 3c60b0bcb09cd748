/** Tests of tunnels over loopback. */
package io.stackhall.server.tunnel;
