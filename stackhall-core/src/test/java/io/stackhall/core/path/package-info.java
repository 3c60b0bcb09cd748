/** Tests of the paths to upstreams. */
package io.stackhall.core.path;
