/** Tests of what upstreams ask of hosts. */
package io.stackhall.core.backpressure;
