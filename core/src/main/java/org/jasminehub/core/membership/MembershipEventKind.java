package org.jasminehub.core.membership;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The events of membership. */
public enum MembershipEventKind implements EventKind {
    /** A member takes no new work. */
    MEMBER_LEAVING(3000, Severity.INFO, "An incarnation of a member takes no new work from now on."),
    /** A member came back. */
    MEMBER_RETURNED(3001, Severity.INFO, "A member that was leaving is back with a new incarnation."),
    /** A watched member is not heard. */
    MEMBER_SILENT(3002, Severity.WARNING, "A watched member was not heard for too long or its link broke."),
    /** A silent member is heard again. */
    MEMBER_HEARD(3003, Severity.INFO, "A member that was silent is heard again."),
    /** The list shows a new member. */
    MEMBER_LISTED(3004, Severity.INFO, "The platform's list shows a member for the first time."),
    /** The list's absence of a member was obeyed. */
    MEMBER_UNLISTED(3005, Severity.INFO, "A member that the platform's list no longer shows was dropped."),
    /** The list lost members that are heard, or too many at once. */
    LIST_DOUBTED(
            3010,
            Severity.WARNING,
            "The platform's list takes away members that are heard, or more than is believed at once."),
    /** The list is believed again. */
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
