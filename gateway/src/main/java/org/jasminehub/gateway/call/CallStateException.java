package org.jasminehub.gateway.call;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** Thrown when a call is used in a state that does not allow it, which is a programming error. */
public final class CallStateException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given message. */
    public CallStateException(String message) {
        super(ErrorCode.INTERNAL, message, null);
    }
}
