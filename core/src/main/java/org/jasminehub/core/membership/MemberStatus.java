package org.jasminehub.core.membership;

/**
 * What this instance makes of a member.
 *
 * @param member the member, its state as merged from all sources
 * @param incarnation the newest incarnation met, 0 where none is known yet
 * @param contact what this instance's own messages say of it
 */
public record MemberStatus(Member member, long incarnation, MemberContact contact) {
    /** Tells whether new work may be sent to it. */
    public boolean takesNewWork() {
        return member.isLive() && contact != MemberContact.SILENT;
    }
}
