package org.jasminehub.core.membership;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * The platform's list began or ceased to be doubted.
 *
 * @param change LIST_DOUBTED or LIST_BELIEVED
 * @param missing how many live members the list did not show as live
 * @param live how many members were live before
 */
public record ListJudged(MembershipEventKind change, int missing, int live) implements Event {
    @Override
    public EventKind kind() {
        return change;
    }
}
