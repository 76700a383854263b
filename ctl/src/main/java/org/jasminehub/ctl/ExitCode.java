package org.jasminehub.ctl;

import org.jasminehub.core.error.ErrorCode;

/** Exit codes of the process. */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed for a reason other than its input. */
    FAILED(1),
    /** The command line, or a file that it names, is invalid. */
    BAD_INPUT(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    static ExitCode of(ErrorCode code) {
        return switch (code) {
            case ARGUMENT_INVALID, DOCUMENT_INVALID -> BAD_INPUT;
            default -> FAILED;
        };
    }
}
