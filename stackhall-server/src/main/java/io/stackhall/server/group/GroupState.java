package io.stackhall.server.group;

/**
 * The state machine of a group. All methods are called on the group's own thread.
 *
 * @see ControlState
 * @see ZoneState
 */
public interface GroupState {

    /** Applies a committed command and returns its encoded result. */
    byte[] apply(byte[] command);

    /** Answers a question from the leader's state, without changing it. */
    byte[] query(byte[] question);

    /** Returns the whole state, encoded. */
    byte[] snapshot();

    /** Replaces the whole state; an empty array means the initial one. */
    void restore(byte[] snapshot);

    /** Notes that the group came back from fewer replicas than a quorum. */
    void reformed(boolean memoryLost);
}
