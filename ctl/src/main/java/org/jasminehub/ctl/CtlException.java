package org.jasminehub.ctl;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;
import org.jspecify.annotations.Nullable;

/** Thrown when a command of the operators' tool fails. */
final class CtlException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    CtlException(ErrorCode code, String message) {
        this(code, message, null);
    }

    CtlException(ErrorCode code, String message, @Nullable Throwable cause) {
        super(code, message, cause);
    }
}
