/** The clock by which this process measures time. */
package io.stackhall.server.clock;
