/** Which incarnations of upstreams there are, by what they say of themselves. */
package io.stackhall.core.fleet;
