/** Measures the delay of a host's own event loop, and refuses requests while it is overloaded. */
package io.stackhall.core.overload;
