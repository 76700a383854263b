package org.jasminehub.wire;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;
import org.jspecify.annotations.Nullable;

/** Thrown when a connection between processes fails or a peer violates the protocol. */
public final class WireException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code cause} may be null. */
    public WireException(String message, @Nullable Throwable cause) {
        super(ErrorCode.PROTOCOL_VIOLATION, message, cause);
    }
}
