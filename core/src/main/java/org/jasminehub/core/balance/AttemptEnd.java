package org.jasminehub.core.balance;

/** How an attempt at an endpoint ended without an answer that can be delivered. */
public enum AttemptEnd {
    /** The endpoint has not run the call and never will. */
    NOT_RUN,
    /** Another endpoint answers at the address; it has not run the call and never will. */
    MISDIRECTED,
    /** The endpoint may have run the call. */
    MAY_HAVE_RUN,
    /** The endpoint ran the call and failed. */
    FAILED;

    /** Returns whether the call has not run at that endpoint and never will. */
    public boolean isNotRun() {
        return this == NOT_RUN || this == MISDIRECTED;
    }
}
