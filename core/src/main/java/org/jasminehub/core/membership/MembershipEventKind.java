package org.jasminehub.core.membership;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Event kinds for membership. */
public enum MembershipEventKind implements EventKind {
    /** A member stopped accepting new work. */
    MEMBER_LEAVING(3000, Severity.INFO, "An incarnation of a member takes no new work from now on."),
    /** A leaving member accepts new work again. */
    MEMBER_RETURNED(3001, Severity.INFO, "A member that was leaving is back with a new incarnation."),
    /** No messages are received from a watched member. */
    MEMBER_SILENT(3002, Severity.WARNING, "A watched member was not heard for too long or its link broke."),
    /** Messages are received again from a silent member. */
    MEMBER_HEARD(3003, Severity.INFO, "A member that was silent is heard again."),
    /** The platform's list shows a new member. */
    MEMBER_LISTED(3004, Severity.INFO, "The platform's list shows a member for the first time."),
    /** A member was removed because it is missing from the platform's list. */
    MEMBER_UNLISTED(3005, Severity.INFO, "A member that the platform's list no longer shows was dropped."),
    /** The list lacks members that still send messages, or too many members at once. */
    LIST_DOUBTED(
            3010,
            Severity.WARNING,
            "The platform's list takes away members that are heard, or more than is believed at once."),
    /** No member is retained against the list any longer. */
    LIST_BELIEVED(3011, Severity.INFO, "The platform's list no longer takes away members that are kept here.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    MembershipEventKind(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Severity severity() {
        return severity;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}
