/** The HTTP interface for callers and for announcements of upstreams. */
package io.stackhall.server.callers;
