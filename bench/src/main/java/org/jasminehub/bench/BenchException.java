package org.jasminehub.bench;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;
import org.jspecify.annotations.Nullable;

/** A measurement cannot go on, because what it measures failed. */
public final class BenchException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure; {@code cause} may be null. */
    public BenchException(String message, @Nullable Throwable cause) {
        super(ErrorCode.INTERNAL, message, cause);
    }
}
