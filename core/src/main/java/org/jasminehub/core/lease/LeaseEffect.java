package org.jasminehub.core.lease;

/** The effect of a lease record on the lease of its shard. */
public enum LeaseEffect {
    /** The record took effect. */
    ACCEPTED,
    /** The record had no effect because its writer had not read an earlier record of the shard. */
    REJECTED,
    /**
     * The reader cannot determine the effect because the log no longer contains the records that it depends on.
     *
     * <p>The state is known again with the next accepted record.
     */
    UNDETERMINED
}
