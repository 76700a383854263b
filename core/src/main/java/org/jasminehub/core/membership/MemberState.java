package org.jasminehub.core.membership;

/** Whether an instance takes new work. */
public enum MemberState {
    /** It takes new work. */
    LIVE,
    /** It finishes what it has and takes no new work. */
    LEAVING
}
