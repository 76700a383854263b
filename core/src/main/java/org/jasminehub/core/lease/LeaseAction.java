package org.jasminehub.core.lease;

/** The operation that the writer of a lease record requests. */
public enum LeaseAction {
    /** Acquires the lease. */
    CLAIM,
    /** Extends a lease that the writer holds. */
    RENEW,
    /** Releases the lease before it expires. */
    RELEASE
}
