/** Tests of control hosts. */
package io.stackhall.server.control;
