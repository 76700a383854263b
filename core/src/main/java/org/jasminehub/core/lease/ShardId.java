package org.jasminehub.core.lease;

import org.jasminehub.core.internal.Checks;

/** The name of a shard: a set of groups of ranks that is controlled by one instance at a time. */
public record ShardId(String value) implements Comparable<ShardId> {
    /** Creates a name, which must not be blank. */
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
