/** Announcements of upstreams, and the table of known upstreams built from them. */
package io.stackhall.core.membership;
