/** How hosts that know a few seeds find each other and keep a common list of upstreams. */
package io.stackhall.server.fleet;
