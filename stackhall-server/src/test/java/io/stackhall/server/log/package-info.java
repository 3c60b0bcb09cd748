/** Tests of the lines of the logs. */
package io.stackhall.server.log;
