/**
 * How many requests a second upstreams take from all hosts together, while they say so: one keeper
 * grants permits, and each host sends no more than it was granted. No I/O; moments are in
 * nanoseconds of the clock that goes on while a machine is suspended.
 */
package io.stackhall.core.limit;
