/** Frames between the system's own processes, over TCP. */
package io.stackhall.server.peer;
