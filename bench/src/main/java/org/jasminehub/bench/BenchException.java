package org.jasminehub.bench;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;
import org.jspecify.annotations.Nullable;

/** Thrown when a benchmark cannot continue because the code that it measures failed. */
public final class BenchException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message and an optional cause. */
    public BenchException(String message, @Nullable Throwable cause) {
        super(ErrorCode.INTERNAL, message, cause);
    }
}
