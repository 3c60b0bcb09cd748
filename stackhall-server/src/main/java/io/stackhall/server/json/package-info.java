/** How the core's records are written as JSON. */
package io.stackhall.server.json;
