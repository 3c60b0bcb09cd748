/** Tests of the announcements of upstreams and of other zones. */
package io.stackhall.core.membership;
