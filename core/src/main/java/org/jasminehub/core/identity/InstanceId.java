package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of an instance that runs a process of the system. */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Creates a name, which must not be blank. */
    public InstanceId {
        Checks.notBlank("instance", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
