package org.jasminehub.ctl;

import org.jasminehub.core.error.ErrorCode;

/** What the process returns to its shell. */
enum ExitCode {
    /** It did what was asked. */
    OK(0),
    /** It could not, for a reason outside the command line. */
    FAILED(1),
    /** The command line or a file that it names is wrong. */
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
