/**
 * An entry host: relays callers' requests to upstreams, and resumes a broken event stream at
 * another instance.
 */
package io.stackhall.server.gateway;
