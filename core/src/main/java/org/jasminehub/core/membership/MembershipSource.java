package org.jasminehub.core.membership;

/** The source of information about a member. */
public enum MembershipSource {
    /** The direct link between this instance and the member. */
    LINK,
    /** A peer. */
    PEER,
    /** The platform's list. */
    LIST
}
