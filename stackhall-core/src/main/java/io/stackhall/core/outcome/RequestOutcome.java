package io.stackhall.core.outcome;

/**
 * Whether an upstream ran a request.
 *
 * <p>{@link NotRun} is only used with a proof: no byte of the request was written to a connection,
 * or the upstream itself said so.
 */
public sealed interface RequestOutcome {

    /** Returns the value of the outcome header. */
    String header();

    /** Proved not run. */
    record NotRun(String reason) implements RequestOutcome {
        @Override
        public String header() {
            return "not-run";
        }
    }

    /** Run, and answered completely or with an explicit error. */
    record Ran() implements RequestOutcome {
        @Override
        public String header() {
            return "ran";
        }
    }

    /** Sent to an upstream that gave no complete answer; it may or may not have run. */
    record Unknown(String reason) implements RequestOutcome {
        @Override
        public String header() {
            return "unknown";
        }
    }
}
