package org.jasminehub.core.lease;

/** The operation that the writer of a lease record requests. */
public enum LeaseAction {
    /** Acquire the lease. */
    CLAIM,
    /** Extend a lease that the writer holds. */
    RENEW,
    /** Give up the lease before it expires. */
    RELEASE
}
