package org.jasminehub.core.identity;

import org.jasminehub.core.internal.Checks;

/** The name of a workspace on whose behalf callers send requests. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Creates a name, which must not be blank. */
    public WorkspaceId {
        Checks.notBlank("workspace", value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
