package io.stackhall.server.cli;

/** The exit codes of the command line. */
enum ExitCode {
    /** Everything went well. */
    OK(0),
    /** It failed. */
    FAILED(1),
    /** The arguments, or a file that they name, are wrong. */
    INVALID(2),
    /** The change was refused. */
    REFUSED(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
