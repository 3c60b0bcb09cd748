/** Measured slopes for the capacity page; they run only when asked for, by bin/capacity. */
package io.stackhall.server.bench;
