package org.jasminehub.core.error;

/** A team's document does not pass its schema. */
public final class DocumentException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    private final String place;

    /** Creates the failure for {@code value} found at {@code place} where {@code expected} was allowed. */
    public DocumentException(String place, Object value, String expected) {
        super(ErrorCode.DOCUMENT_INVALID, place + ": found " + value + ", expected " + expected, null);
        this.place = place;
    }

    /** Returns the path of the offending key, for example {@code routes[2].deadlineMillis}. */
    public String place() {
        return place;
    }
}
