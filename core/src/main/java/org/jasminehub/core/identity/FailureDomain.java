package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of a set of instances that tend to fail together. */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Creates a name, which must not be blank. */
    public FailureDomain {
        Checks.notBlank("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
