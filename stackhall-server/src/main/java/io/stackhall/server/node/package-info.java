/** The host process with fixed membership: its components, their drivers and its lifecycle. */
package io.stackhall.server.node;
