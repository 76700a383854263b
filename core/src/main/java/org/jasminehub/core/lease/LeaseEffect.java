package org.jasminehub.core.lease;

/** What a lease record did to the lease of its shard. */
public enum LeaseEffect {
    /** It took effect. */
    ACCEPTED,
    /** It changed nothing, as another record of the shard came before it that its writer had not read. */
    REJECTED,
    /** The reader cannot tell, as the log has dropped what it would need; the next accepted record ends the doubt. */
    UNDETERMINED
}
