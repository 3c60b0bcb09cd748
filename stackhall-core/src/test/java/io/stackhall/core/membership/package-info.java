/** Tests of what is known of upstreams and of other zones. */
package io.stackhall.core.membership;
