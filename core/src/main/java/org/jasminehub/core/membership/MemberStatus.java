package org.jasminehub.core.membership;

/**
 * The status of a member as seen by this instance.
 *
 * @param member the member, with the state merged from all sources
 * @param incarnation the newest known incarnation, or 0 if none is known yet
 * @param contact whether this instance receives messages from the member
 */
public record MemberStatus(Member member, long incarnation, MemberContact contact) {
    /** Returns whether new work may be sent to the member. */
    public boolean acceptsNewWork() {
        return member.isLive() && contact != MemberContact.SILENT;
    }
}
