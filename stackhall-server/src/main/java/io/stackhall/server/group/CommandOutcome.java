package io.stackhall.server.group;

/** What became of a command to a group. */
public sealed interface CommandOutcome {

    /** It was applied, with this encoded result. */
    record Done(byte[] result) implements CommandOutcome {}

    /** It was not applied and will not be. */
    record Refused(String reason) implements CommandOutcome {}

    /** It may or may not have been applied, now or later. */
    record Unknown(String reason) implements CommandOutcome {}

    /** Returns the outcome in words, for the log. */
    default String description() {
        return switch (this) {
            case Done ignored -> "committed";
            case Refused(String reason) -> "refused: " + reason;
            case Unknown(String reason) -> "unknown: " + reason;
        };
    }
}
