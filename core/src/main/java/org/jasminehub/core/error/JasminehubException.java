package org.jasminehub.core.error;

import org.jspecify.annotations.Nullable;

/** The base class of all exceptions of the system; each carries a stable error code. */
public abstract class JasminehubException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception; {@code cause} may be null. */
    protected JasminehubException(ErrorCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates an exception with or without a stack trace.
     *
     * <p>Exceptions that are routine responses to callers are created without one, because it would carry no
     * information and is costly to record.
     */
    protected JasminehubException(ErrorCode code, String message, @Nullable Throwable cause, boolean hasStackTrace) {
        super(message, cause, false, hasStackTrace);
        this.code = code;
    }

    /** Returns the stable error code. */
    public final ErrorCode code() {
        return code;
    }
}
