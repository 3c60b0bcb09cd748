/** The known incarnations of upstreams, according to their reports. */
package io.stackhall.core.fleet;
