/** Tests of the replicated log. */
package io.stackhall.core.replication;
