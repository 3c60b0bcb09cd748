/** Tests of the way from a request's id to its cause. */
package io.stackhall.server.explain;
