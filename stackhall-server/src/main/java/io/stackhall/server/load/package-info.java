/** A small open-loop load tool with the shapes of known users. */
package io.stackhall.server.load;
