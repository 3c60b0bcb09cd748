/**
 * Backpressure of upstreams on the hosts that send them requests: decides whether a request may be
 * sent to an upstream now. Limits apply to all hosts together and are managed by {@link
 * io.stackhall.core.limit}; rests apply between one upstream and one host. No I/O. Times are in
 * nanoseconds of a clock that continues while the machine is suspended.
 */
package io.stackhall.core.backpressure;
