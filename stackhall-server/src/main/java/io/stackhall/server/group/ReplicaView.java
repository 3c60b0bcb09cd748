package io.stackhall.server.group;

import io.stackhall.core.replication.Membership;
import io.stackhall.core.replication.Replica;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.Role;
import io.stackhall.server.clock.BootClock;
import java.util.Optional;

/**
 * What other threads see of a replica.
 *
 * @param id the replica
 * @param role the part that it plays
 * @param term its term
 * @param commitIndex the last entry known to be committed
 * @param leader whom it follows
 * @param membership the membership in force
 * @param leaseUntil until when it may act as the leader, on the monotonic clock in nanoseconds
 */
public record ReplicaView(
        ReplicaId id,
        Role role,
        long term,
        long commitIndex,
        Optional<ReplicaId> leader,
        Membership membership,
        long leaseUntil) {

    static ReplicaView of(Replica replica) {
        return new ReplicaView(
                replica.id(),
                replica.role(),
                replica.term(),
                replica.commitIndex(),
                replica.leader(),
                replica.membership(),
                replica.leaseUntil(BootClock.nanos()));
    }
}
