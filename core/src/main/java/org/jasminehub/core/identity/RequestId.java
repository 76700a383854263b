package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of one request, the same in each of its attempts. */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Creates a name; it must not be blank. */
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
