package org.jasminehub.core.membership;

/** The role of an instance of the system. */
public enum MemberRole {
    /** Accepts requests of callers. */
    ENTRY,
    /** Runs beside an endpoint and relays requests to it. */
    AGENT
}
