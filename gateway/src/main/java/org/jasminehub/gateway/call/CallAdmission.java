package org.jasminehub.gateway.call;

/** Decides whether this instance accepts a call. */
@FunctionalInterface
public interface CallAdmission {
    /**
     * Returns whether a call that arrives now is accepted.
     *
     * @param limitMillis the time within which the call ends in any case
     */
    boolean accepts(long limitMillis);
}
