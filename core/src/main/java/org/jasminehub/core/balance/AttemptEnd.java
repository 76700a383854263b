package org.jasminehub.core.balance;

/** How an attempt at an endpoint ended without an answer that can be delivered. */
public enum AttemptEnd {
    /** The endpoint has not run the call and never will. */
    NOT_RUN,
    /** The endpoint may have run the call. */
    MAY_HAVE_RUN,
    /** The endpoint ran the call and failed. */
    FAILED
}
