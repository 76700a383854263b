package org.jasminehub.core.error;

/** A program passed a value outside its range. */
public final class InvalidArgumentException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure for {@code value} found at {@code place} where {@code expected} was allowed. */
    public InvalidArgumentException(String place, Object value, String expected) {
        super(ErrorCode.ARGUMENT_INVALID, place + " is \"" + value + "\" but must be " + expected, null);
    }
}
