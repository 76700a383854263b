package org.jasminehub.gateway.net;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** Thrown if a request is not read because clients hold all the memory that they may. */
final class InsufficientMemoryException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    InsufficientMemoryException(String message) {
        super(ErrorCode.MEMORY_EXHAUSTED, message, null, false);
    }
}
