package org.jasminehub.core.error;

import org.jspecify.annotations.Nullable;

/** A failure with a stable code; each kind of failure extends it with a type of its own. */
public abstract class JasminehubException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates a failure; {@code cause} is null where no other failure led to this one. */
    protected JasminehubException(ErrorCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates a failure whose place in the program says nothing, because it is an answer of every day: it carries no
     * stack trace and costs little.
     */
    protected JasminehubException(ErrorCode code, String message, @Nullable Throwable cause, boolean hasStackTrace) {
        super(message, cause, false, hasStackTrace);
        this.code = code;
    }

    /** Returns the stable code. */
    public final ErrorCode code() {
        return code;
    }
}
