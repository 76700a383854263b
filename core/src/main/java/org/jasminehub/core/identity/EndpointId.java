package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of an endpoint, which is a model server or plain service instance behind an agent. */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Creates a name, which must not be blank. */
    public EndpointId {
        Checks.notBlank("endpoint", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
