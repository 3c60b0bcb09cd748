/**
 * Request rate limits that upstreams announce for all hosts together: the leading limit manager
 * grants permits, and each host sends no more than it was granted. No I/O. Times are in nanoseconds
 * of a clock that continues while the machine is suspended.
 */
package io.stackhall.core.limit;
