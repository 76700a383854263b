package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The identifier of a request, shared by all its attempts. */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Creates an identifier, which must not be blank. */
    public RequestId {
        Checks.notBlank("request id", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
