/** Tests of the clock. */
package io.stackhall.server.clock;
