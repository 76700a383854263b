package org.jasminehub.core.membership;

/** Where this instance learnt something of a member. */
public enum MembershipSource {
    /** Its own link to the member. */
    LINK,
    /** A peer. */
    PEER,
    /** The platform's list. */
    LIST
}
