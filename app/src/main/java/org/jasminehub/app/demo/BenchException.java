package org.jasminehub.app.demo;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** A measurement cannot go on, because what it measures failed. */
final class BenchException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    BenchException(String message) {
        super(ErrorCode.INTERNAL, message, null);
    }
}
