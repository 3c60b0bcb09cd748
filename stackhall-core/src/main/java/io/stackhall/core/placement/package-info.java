/** Placement of models on upstreams: the order ledger, memory accounting and the coordinator. */
package io.stackhall.core.placement;
