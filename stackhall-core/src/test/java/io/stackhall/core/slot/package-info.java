/** Tests of the leases of places at upstreams. */
package io.stackhall.core.slot;
