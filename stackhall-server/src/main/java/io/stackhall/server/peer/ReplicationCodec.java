package io.stackhall.server.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Membership;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.rpc.generated.peer.AppendReply;
import io.stackhall.rpc.generated.peer.AppendRequest;
import io.stackhall.rpc.generated.peer.Formation;
import io.stackhall.rpc.generated.peer.Raft;
import io.stackhall.rpc.generated.peer.Replica;
import io.stackhall.rpc.generated.peer.SnapshotRequest;
import io.stackhall.rpc.generated.peer.TimeoutNow;
import io.stackhall.rpc.generated.peer.VoteReply;
import io.stackhall.rpc.generated.peer.VoteRequest;
import java.util.List;

/** Turns the messages of the replicated log into frames and back. */
public final class ReplicationCodec {

    private ReplicationCodec() {}

    /** Encodes a message of a group. */
    public static Raft encode(String group, Message message) {
        Raft.Builder raft =
                Raft.newBuilder()
                        .setGroup(group)
                        .setFrom(encode(message.from()))
                        .setTo(encode(message.to()))
                        .setFormation(message.formation())
                        .setTerm(message.term());
        switch (message.body()) {
            case Message.VoteRequest body ->
                    raft.setVoteRequest(
                            VoteRequest.newBuilder()
                                    .setLastIndex(body.lastIndex())
                                    .setLastTerm(body.lastTerm())
                                    .setPreVote(body.preVote())
                                    .setTransfer(body.transfer()));
            case Message.VoteReply body ->
                    raft.setVoteReply(
                            VoteReply.newBuilder()
                                    .setGranted(body.granted())
                                    .setPreVote(body.preVote()));
            case Message.AppendRequest body -> raft.setAppendRequest(encode(body));
            case Message.AppendReply body ->
                    raft.setAppendReply(
                            AppendReply.newBuilder()
                                    .setSuccess(body.success())
                                    .setMatchIndex(body.matchIndex())
                                    .setRound(body.round()));
            case Message.SnapshotRequest body -> raft.setSnapshotRequest(encode(body));
            case Message.Form body ->
                    raft.setForm(
                            Formation.newBuilder()
                                    .setMembership(encode(body.membership()))
                                    .setLastTerm(body.lastTerm())
                                    .setLastIndex(body.lastIndex()));
            case Message.TimeoutNow ignored -> raft.setTimeoutNow(TimeoutNow.newBuilder());
        }
        return raft.build();
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if it is none
     */
    public static Message decode(Raft raft) {
        return new Message(
                decode(raft.getFrom()),
                decode(raft.getTo()),
                raft.getFormation(),
                raft.getTerm(),
                body(raft));
    }

    /** Encodes a hello of a group. */
    public static io.stackhall.rpc.generated.peer.Hello encode(String group, Hello hello) {
        return io.stackhall.rpc.generated.peer.Hello.newBuilder()
                .setGroup(group)
                .setReplica(encode(hello.replica()))
                .setFresh(hello.emptyLog())
                .setDurable(hello.durable())
                .setFormation(hello.formation())
                .setLastTerm(hello.lastTerm())
                .setLastIndex(hello.lastIndex())
                .setAsk(hello.ask())
                .setAnswers(hello.answers())
                .setFounder(hello.founder())
                .setPreferredFounder(hello.preferredFounder())
                .build();
    }

    /** Decodes a hello. */
    public static Hello decode(io.stackhall.rpc.generated.peer.Hello hello) {
        return new Hello(
                decode(hello.getReplica()),
                hello.getDurable(),
                hello.getFormation(),
                hello.getLastTerm(),
                hello.getLastIndex(),
                hello.getAsk(),
                hello.getAnswers(),
                hello.getFounder(),
                hello.getPreferredFounder());
    }

    private static Message.Body body(Raft raft) {
        return switch (raft.getMessageCase()) {
            case VOTE_REQUEST -> {
                VoteRequest body = raft.getVoteRequest();
                yield new Message.VoteRequest(
                        body.getLastIndex(),
                        body.getLastTerm(),
                        body.getPreVote(),
                        body.getTransfer());
            }
            case VOTE_REPLY ->
                    new Message.VoteReply(
                            raft.getVoteReply().getGranted(), raft.getVoteReply().getPreVote());
            case APPEND_REQUEST -> decode(raft.getAppendRequest());
            case APPEND_REPLY -> {
                AppendReply body = raft.getAppendReply();
                yield new Message.AppendReply(
                        body.getSuccess(), body.getMatchIndex(), body.getRound());
            }
            case SNAPSHOT_REQUEST -> decode(raft.getSnapshotRequest());
            case FORM -> {
                Formation body = raft.getForm();
                yield new Message.Form(
                        decode(body.getMembership()), body.getLastTerm(), body.getLastIndex());
            }
            case TIMEOUT_NOW -> new Message.TimeoutNow();
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("a message without a body");
        };
    }

    private static AppendRequest encode(Message.AppendRequest body) {
        AppendRequest.Builder request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(body.previousIndex())
                        .setPreviousTerm(body.previousTerm())
                        .setCommit(body.commit())
                        .setRound(body.round());
        body.entries().forEach(entry -> request.addEntries(encode(entry)));
        return request.build();
    }

    private static Message.AppendRequest decode(AppendRequest body) {
        List<Entry> entries = body.getEntriesList().stream().map(ReplicationCodec::decode).toList();
        return new Message.AppendRequest(
                body.getPreviousIndex(),
                body.getPreviousTerm(),
                entries,
                body.getCommit(),
                body.getRound());
    }

    private static SnapshotRequest encode(Message.SnapshotRequest body) {
        Snapshot snapshot = body.snapshot();
        return SnapshotRequest.newBuilder()
                .setLastIndex(snapshot.lastIndex())
                .setLastTerm(snapshot.lastTerm())
                .setMembership(encode(snapshot.membership()))
                .setState(UnsafeByteOperations.unsafeWrap(snapshot.state()))
                .setRound(body.round())
                .build();
    }

    private static Message.SnapshotRequest decode(SnapshotRequest body) {
        Snapshot snapshot =
                new Snapshot(
                        body.getLastIndex(),
                        body.getLastTerm(),
                        decode(body.getMembership()),
                        body.getState().toByteArray());
        return new Message.SnapshotRequest(snapshot, body.getRound());
    }

    private static io.stackhall.rpc.generated.peer.Entry encode(Entry entry) {
        var encoded =
                io.stackhall.rpc.generated.peer.Entry.newBuilder()
                        .setTerm(entry.term())
                        .setIndex(entry.index());
        switch (entry.payload()) {
            case Payload.Command(byte[] bytes) -> encoded.setCommand(ByteString.copyFrom(bytes));
            case Payload.MembershipChange(Membership membership) ->
                    encoded.setMembership(encode(membership));
            case Payload.Blank() -> encoded.setBlank(true);
            case Payload.Reformed(boolean memoryLost) -> encoded.setReformed(memoryLost);
        }
        return encoded.build();
    }

    private static Entry decode(io.stackhall.rpc.generated.peer.Entry entry) {
        Payload payload =
                switch (entry.getPayloadCase()) {
                    case COMMAND -> new Payload.Command(entry.getCommand().toByteArray());
                    case MEMBERSHIP -> new Payload.MembershipChange(decode(entry.getMembership()));
                    case BLANK -> new Payload.Blank();
                    case REFORMED -> new Payload.Reformed(entry.getReformed());
                    case PAYLOAD_NOT_SET ->
                            throw new IllegalArgumentException("an entry without a payload");
                };
        return new Entry(entry.getTerm(), entry.getIndex(), payload);
    }

    private static io.stackhall.rpc.generated.peer.Membership encode(Membership membership) {
        var encoded = io.stackhall.rpc.generated.peer.Membership.newBuilder();
        membership.voters().forEach(voter -> encoded.addVoters(encode(voter)));
        membership.learners().forEach(learner -> encoded.addLearners(encode(learner)));
        return encoded.build();
    }

    private static Membership decode(io.stackhall.rpc.generated.peer.Membership membership) {
        return new Membership(
                membership.getVotersList().stream().map(ReplicationCodec::decode).toList(),
                membership.getLearnersList().stream().map(ReplicationCodec::decode).toList());
    }

    private static Replica encode(ReplicaId id) {
        return Replica.newBuilder().setHost(id.host()).setIncarnation(id.incarnation()).build();
    }

    private static ReplicaId decode(Replica replica) {
        return new ReplicaId(replica.getHost(), replica.getIncarnation());
    }
}
