package io.stackhall.core.replication;

import java.util.Arrays;

/** Content of a log entry. */
public sealed interface Payload {

    /**
     * A command for the replicated state machine.
     *
     * @param bytes the encoded command; the array is shared and must not be modified
     */
    record Command(byte[] bytes) implements Payload {
        @Override
        public boolean equals(Object other) {
            return other instanceof Command command && Arrays.equals(bytes, command.bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }

        @Override
        public String toString() {
            return "Command[" + bytes.length + " bytes]";
        }
    }

    /**
     * A change of the group's membership, which takes effect as soon as it is appended.
     *
     * @param membership the whole membership after the change
     */
    record MembershipChange(Membership membership) implements Payload {}

    /** Empty entry that a new leader appends so that entries of earlier terms get committed. */
    record Blank() implements Payload {}

    /**
     * Records that the group was formed, either for the first time or again from fewer replicas
     * than a quorum.
     *
     * @param memoryLost whether acknowledged commands may be missing from the log
     */
    record Reformed(boolean memoryLost) implements Payload {}
}
