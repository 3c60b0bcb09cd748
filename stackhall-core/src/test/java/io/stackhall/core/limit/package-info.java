/** Tests of the limits that upstreams announce, in virtual time. */
package io.stackhall.core.limit;
