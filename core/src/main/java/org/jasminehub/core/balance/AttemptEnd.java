package org.jasminehub.core.balance;

/** How an attempt at an endpoint ended when it produced no response that can be sent to the caller. */
public enum AttemptEnd {
    /** The endpoint did not run the call and will not run it later. */
    NOT_RUN,
    /** A different endpoint now answers at the address; it did not run the call and will not run it later. */
    MISDIRECTED,
    /** The endpoint may have run the call. */
    MAY_HAVE_RUN,
    /** The endpoint ran the call and failed. */
    FAILED;

    /** Returns whether the endpoint certainly did not run the call and will not run it later. */
    public boolean isNotRun() {
        return this == NOT_RUN || this == MISDIRECTED;
    }
}
