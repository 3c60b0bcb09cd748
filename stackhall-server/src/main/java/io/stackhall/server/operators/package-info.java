/** The operators' remote procedure calls. */
package io.stackhall.server.operators;
