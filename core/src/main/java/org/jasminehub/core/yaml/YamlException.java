package org.jasminehub.core.yaml;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** A YAML text does not have the expected shape. */
public final class YamlException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    private final transient YamlFailure failure;

    /** Creates the failure. */
    public YamlException(YamlFailure failure) {
        super(
                ErrorCode.DOCUMENT_INVALID,
                "line " + failure.line() + ", " + failure.place() + ": found " + failure.found() + ", expected "
                        + failure.expected(),
                null);
        this.failure = failure;
    }

    /** Returns the place and what was expected there. */
    public YamlFailure failure() {
        return failure;
    }
}
