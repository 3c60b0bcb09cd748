package io.stackhall.server.operators;

import io.stackhall.core.config.AuditRecord;
import io.stackhall.core.id.HostId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.placement.MemoryAccount;
import io.stackhall.core.placement.OrderLedger;
import io.stackhall.rpc.generated.operators.AuditReply;
import io.stackhall.rpc.generated.operators.HostStatus;
import io.stackhall.rpc.generated.operators.ReplicaStatus;
import io.stackhall.rpc.generated.operators.StatusReply;
import io.stackhall.rpc.generated.operators.UpstreamStatus;
import io.stackhall.rpc.generated.operators.UpstreamsReply;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.group.ReplicaView;
import io.stackhall.server.group.ZoneState;
import io.stackhall.server.node.ConfigExchange;
import io.stackhall.server.node.ConfigStore;
import io.stackhall.server.node.UpstreamExchange;
import io.stackhall.server.settings.Settings;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tells operators what this host sees. */
final class StatusReporter {

    private static final long TIMEOUT_MILLIS = 5000;

    private final Settings settings;
    private final Map<String, GroupHost> groups;
    private final ConfigStore config;
    private final ConfigExchange exchange;
    private final UpstreamExchange upstreams;

    StatusReporter(
            Settings settings,
            Map<String, GroupHost> groups,
            ConfigStore config,
            ConfigExchange exchange,
            UpstreamExchange upstreams) {
        this.settings = settings;
        this.groups = groups;
        this.config = config;
        this.exchange = exchange;
        this.upstreams = upstreams;
    }

    StatusReply status() {
        StatusReply.Builder reply =
                StatusReply.newBuilder()
                        .setRevision(config.current().revision())
                        .setDeployment(DeploymentMapper.fromCore(config.current().deployment()));
        Map<String, ConfigExchange.HostReport> ordered = new TreeMap<>();
        exchange.hostReports().forEach((host, of) -> ordered.put(host.value(), of));
        ordered.forEach(
                (host, follower) -> {
                    if (follower.isRecent()) {
                        reply.addHosts(encode(new HostId(host), follower));
                    }
                });
        new TreeMap<>(groups).forEach((name, host) -> reply.addReplicas(encode(name, host.view())));
        return reply.build();
    }

    UpstreamsReply upstreams() {
        GroupHost zone = groups.get(Settings.zoneGroup(settings.zone()));
        OrderLedger.State orders =
                zone == null
                        ? new OrderLedger.State(List.of(), List.of(), 0)
                        : read(zone.readLocal(state -> ((ZoneState) state).orders().state()));
        UpstreamsReply.Builder reply = UpstreamsReply.newBuilder();
        for (Announcement announcement : upstreams.announcements(settings.zone())) {
            reply.addUpstreams(encode(announcement, orders));
        }
        return reply.build();
    }

    static AuditReply encode(ControlState.AuditTrail trail) {
        AuditReply.Builder reply = AuditReply.newBuilder();
        trail.records().forEach(item -> reply.addRecords(encode(item)));
        return reply.build();
    }

    CommandOutcome removeReplica(String group, String host) {
        GroupHost replica = groups.get(group);
        if (replica == null) {
            return new CommandOutcome.Refused("this host keeps no replica of group " + group);
        }
        return read(replica.remove(host));
    }

    private static HostStatus encode(HostId host, ConfigExchange.HostReport follower) {
        return HostStatus.newBuilder()
                .setHost(host.value())
                .setZone(follower.zone().value())
                .setRevision(follower.revision())
                .setMillisToForce(follower.activationMillis())
                .build();
    }

    private static ReplicaStatus encode(String group, ReplicaView view) {
        ReplicaStatus.Builder status =
                ReplicaStatus.newBuilder()
                        .setGroup(group)
                        .setReplica(view.id().toString())
                        .setRole(view.role().name())
                        .setTerm(view.term())
                        .setCommitIndex(view.commitIndex());
        view.membership().voters().forEach(voter -> status.addVoters(voter.toString()));
        view.membership().learners().forEach(learner -> status.addLearners(learner.toString()));
        return status.build();
    }

    private UpstreamStatus encode(Announcement announcement, OrderLedger.State orders) {
        UpstreamStatus.Builder status =
                UpstreamStatus.newBuilder()
                        .setId(announcement.id().value())
                        .setZone(announcement.zone().value())
                        .setAddress(announcement.address())
                        .setMemoryMib(announcement.memory().capacityMib())
                        .setChargedMib(MemoryAccount.of(announcement, orders).chargedMib())
                        .setLeaving(
                                announcement.leaving()
                                        || config.current().draining().contains(announcement.id()))
                        .setSequence(announcement.sequence());
        announcement.memory().resident().stream()
                .map(resident -> resident.artifact().toString())
                .sorted()
                .forEach(status::addResident);
        return status.build();
    }

    private static io.stackhall.rpc.generated.operators.AuditRecord encode(AuditRecord item) {
        return io.stackhall.rpc.generated.operators.AuditRecord.newBuilder()
                .setSequence(item.sequence())
                .setTimeMillis(item.timeMillis())
                .setOperator(item.operator())
                .setChangeId(item.changeId().value())
                .setChange(item.change())
                .setFromRevision(item.fromRevision())
                .setRevision(item.revision())
                .setOutcome(item.outcome().name())
                .build();
    }

    private static <T> T read(CompletableFuture<T> result) {
        return result.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }
}
