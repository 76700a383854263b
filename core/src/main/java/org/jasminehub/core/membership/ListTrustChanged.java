package org.jasminehub.core.membership;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * Reports that this instance started or stopped retaining members that the platform's list no longer shows as live.
 *
 * @param change LIST_DOUBTED or LIST_BELIEVED
 * @param missing the number of live members that the list does not show as live
 * @param live the number of live members before this list
 */
public record ListTrustChanged(MembershipEventKind change, int missing, int live) implements Event {
    @Override
    public EventKind kind() {
        return change;
    }
}
