/** Remembers which software began a stream, so that it goes on at the same software only. */
package io.stackhall.core.stream;
