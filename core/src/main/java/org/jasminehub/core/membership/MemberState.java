package org.jasminehub.core.membership;

/** Whether an instance accepts new work. */
public enum MemberState {
    /** The instance accepts new work. */
    LIVE,
    /** The instance completes the work it has but accepts no new work. */
    LEAVING
}
