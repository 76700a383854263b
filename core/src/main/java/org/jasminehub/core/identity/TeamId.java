package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of a service team; each team owns one document. */
public record TeamId(String value) implements Comparable<TeamId> {
    /** Creates a name, which must not be blank. */
    public TeamId {
        Checks.notBlank("team", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
