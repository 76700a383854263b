package org.jasminehub.core.yaml;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** Thrown when a YAML text is invalid or does not have the expected structure. */
public final class YamlException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    private final transient YamlFailure failure;

    /** Creates an exception that describes {@code failure}. */
    public YamlException(YamlFailure failure) {
        super(
                ErrorCode.DOCUMENT_INVALID,
                "line " + failure.line() + ", " + failure.path() + ": found " + failure.found() + ", expected "
                        + failure.expected(),
                null);
        this.failure = failure;
    }

    /** Returns the location of the error, the value found and the value expected. */
    public YamlFailure failure() {
        return failure;
    }
}
