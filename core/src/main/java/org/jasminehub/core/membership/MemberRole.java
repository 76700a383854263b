package org.jasminehub.core.membership;

/** What an instance of the system does. */
public enum MemberRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Sits beside an endpoint. */
    AGENT
}
