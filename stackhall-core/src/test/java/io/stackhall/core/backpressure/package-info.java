/** Tests of the backpressure of upstreams on hosts. */
package io.stackhall.core.backpressure;
