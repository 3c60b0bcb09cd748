/** What the process measures of itself, in the Prometheus text format. */
package io.stackhall.server.metrics;
