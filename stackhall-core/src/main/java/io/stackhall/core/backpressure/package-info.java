/**
 * What upstreams ask of the hosts that send them requests, and the one question whether a request
 * may go to one of them now. Limits of all hosts together are kept by {@link
 * io.stackhall.core.limit}; rests are between one upstream and one host. No I/O; moments are in
 * nanoseconds of the clock that goes on while a machine is suspended.
 */
package io.stackhall.core.backpressure;
