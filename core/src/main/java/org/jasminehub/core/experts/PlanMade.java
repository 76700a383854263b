package org.jasminehub.core.experts;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * The event of a planned map change.
 *
 * @param group the name of the group
 * @param reason why the plan contains no more moves
 * @param moves the number of experts to load
 * @param sizeBytes the number of bytes to read from the weight store
 * @param skewBefore the ratio of the slowest rank's time to the mean, on the current map
 * @param skewAfter the same ratio on the planned map
 * @param lostMillisBefore the time per step lost by waiting for the slowest ranks, on the current map
 * @param lostMillisAfter the same time on the planned map
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
    /** Returns the event of {@code plan} for a group whose experts have a size of {@code expertSizeBytes}. */
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
