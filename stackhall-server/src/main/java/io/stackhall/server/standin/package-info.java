/** A stand-in for model engines and plain services, for the demo and for tests. */
package io.stackhall.server.standin;
