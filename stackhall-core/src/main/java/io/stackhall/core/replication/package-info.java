/**
 * A Raft implementation without I/O: elections, leader leases, log replication, snapshots and
 * membership changes.
 *
 * <p>A {@link io.stackhall.core.replication.Replica} is a plain object that takes events and
 * returns effects. Its driver performs the effects in order on a single thread. The package uses no
 * sockets, threads, files, clocks or random sources of its own.
 */
package io.stackhall.core.replication;
