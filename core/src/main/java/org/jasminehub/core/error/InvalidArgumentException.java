package org.jasminehub.core.error;

/** Thrown when an argument has a value that is not allowed. */
public final class InvalidArgumentException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the argument {@code name} with {@code value}, where {@code expected} was required. */
    public InvalidArgumentException(String name, Object value, String expected) {
        super(ErrorCode.ARGUMENT_INVALID, name + " is \"" + value + "\" but must be " + expected, null);
    }
}
