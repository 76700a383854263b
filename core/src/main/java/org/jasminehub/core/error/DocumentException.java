package org.jasminehub.core.error;

/** Thrown when a team's document does not conform to the schema. */
public final class DocumentException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    private final String path;

    /** Creates an exception for {@code value} at {@code path}, where {@code expected} was required. */
    public DocumentException(String path, Object value, String expected) {
        super(ErrorCode.DOCUMENT_INVALID, path + ": found " + value + ", expected " + expected, null);
        this.path = path;
    }

    /** Returns the path of the offending key, for example {@code routes[2].deadlineMillis}. */
    public String path() {
        return path;
    }
}
