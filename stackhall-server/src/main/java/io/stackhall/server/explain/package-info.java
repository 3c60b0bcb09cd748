/** From the logs of all processes to the story of one request. */
package io.stackhall.server.explain;
