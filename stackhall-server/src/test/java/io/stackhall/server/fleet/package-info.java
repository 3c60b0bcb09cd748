/** Control and entry hosts in one process, before upstreams whose every byte a test decides. */
package io.stackhall.server.fleet;
