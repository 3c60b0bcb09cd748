/** Typed identifiers, so that the compiler rejects an id of one kind in place of another. */
package io.stackhall.core.id;
