/** Tests of what passes between hosts. */
package io.stackhall.server.peer;
