package org.jasminehub.bench.capacity;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** A bench could not do what it measures. */
final class BenchException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    BenchException(Throwable cause) {
        super(ErrorCode.INTERNAL, "a measured step failed", cause);
    }
}
