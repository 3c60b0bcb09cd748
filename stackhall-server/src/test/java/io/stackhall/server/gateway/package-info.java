/** Tests of the parts of an entry host that need no network. */
package io.stackhall.server.gateway;
