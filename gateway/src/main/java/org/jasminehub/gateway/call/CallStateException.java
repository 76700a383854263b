package org.jasminehub.gateway.call;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** A fault of this program: a call was used in a state that does not allow it. */
public final class CallStateException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public CallStateException(String message) {
        super(ErrorCode.INTERNAL, message, null);
    }
}
