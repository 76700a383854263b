package org.jasminehub.core.membership;

/** Whether this instance receives messages from a member. */
public enum MemberContact {
    /** This instance does not watch the member. */
    UNWATCHED,
    /** A message from the member was received recently. */
    HEARD,
    /** The member is watched, but its link broke or no message was received within the configured time. */
    SILENT
}
