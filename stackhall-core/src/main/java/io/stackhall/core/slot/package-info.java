/** Leases of places at upstreams that fall over if they have to refuse many requests. */
package io.stackhall.core.slot;
