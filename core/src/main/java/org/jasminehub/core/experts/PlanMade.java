package org.jasminehub.core.experts;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A plan with its reasons.
 *
 * @param group the group
 * @param reason why it moves no more than it does
 * @param moves how many experts it loads
 * @param sizeBytes the bytes that this takes from the weight store
 * @param skewBefore the slowest rank's time over the mean on the present map
 * @param skewAfter the same on the planned map
 * @param lostMillisBefore the time that a step loses to its slowest ranks on the present map
 * @param lostMillisAfter the same on the planned map
 */
public record PlanMade(
        String group,
        PlanReason reason,
        int moves,
        long sizeBytes,
        double skewBefore,
        double skewAfter,
        double lostMillisBefore,
        double lostMillisAfter)
        implements Event {
    /** Returns the event of {@code plan} for a group whose experts take {@code expertSizeBytes} each. */
    public static PlanMade of(String group, MapPlan plan, long expertSizeBytes) {
        return new PlanMade(
                group,
                plan.reason(),
                plan.moves(),
                plan.moves() * expertSizeBytes,
                plan.before().skew(),
                plan.after().skew(),
                plan.before().lostMillis(),
                plan.after().lostMillis());
    }

    @Override
    public EventKind kind() {
        return ExpertEventKind.PLAN_MADE;
    }
}
