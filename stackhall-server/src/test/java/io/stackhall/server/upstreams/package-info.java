/** Tests of the package of the same name. */
package io.stackhall.server.upstreams;
