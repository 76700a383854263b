package org.jasminehub.core.membership;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Reports a change of one member; {@code incarnation} is 0 if none is known. */
public record MemberChanged(MembershipEventKind change, String instance, long incarnation, MembershipSource source)
        implements Event {
    @Override
    public EventKind kind() {
        return change;
    }
}
