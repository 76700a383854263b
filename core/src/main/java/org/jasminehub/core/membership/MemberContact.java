package org.jasminehub.core.membership;

/** What this instance's own messages say of a member. */
public enum MemberContact {
    /** This instance does not watch it. */
    UNWATCHED,
    /** It was heard recently. */
    HEARD,
    /** It is watched and was not heard for too long, or its link broke. */
    SILENT
}
