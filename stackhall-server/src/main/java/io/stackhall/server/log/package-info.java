/** Keeps the volume of logs bounded, and writing them from holding anything up. */
package io.stackhall.server.log;
