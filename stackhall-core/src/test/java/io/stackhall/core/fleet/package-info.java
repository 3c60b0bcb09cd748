/** Tests of the list of upstreams. */
package io.stackhall.core.fleet;
