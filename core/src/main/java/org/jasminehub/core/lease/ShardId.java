package org.jasminehub.core.lease;

import org.jasminehub.core.internal.Checks;

/** The name of a share of control work that one instance does at a time. */
public record ShardId(String value) implements Comparable<ShardId> {
    /** Creates a name; it must not be blank. */
    public ShardId {
        Checks.notBlank("shard", value);
    }

    @Override
    public int compareTo(ShardId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
