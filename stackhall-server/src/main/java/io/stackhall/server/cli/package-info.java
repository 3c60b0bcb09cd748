/** The command line. */
package io.stackhall.server.cli;
