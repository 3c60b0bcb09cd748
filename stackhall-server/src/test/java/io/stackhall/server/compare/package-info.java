/** Tests of the comparison of policies. */
package io.stackhall.server.compare;
