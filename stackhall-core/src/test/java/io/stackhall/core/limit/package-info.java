/** Limits that upstreams name, in virtual time. */
package io.stackhall.core.limit;
