package org.jasminehub.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.identity.InstanceId;

/** Decides which members the platform's list may take away, by a {@link ListDoubtRule}. */
final class ListDoubtPolicy {
    private final ListDoubtRule rule;
    private final Map<InstanceId, Absence> absences = new HashMap<>();
    private long windowStartMillis = Long.MIN_VALUE;
    private int freeRemovals;

    ListDoubtPolicy(ListDoubtRule rule) {
        this.rule = rule;
    }

    /**
     * Takes the members that the newest list no longer shows as live and returns those of them that are to go.
     *
     * @param missing members that were live in the view
     * @param liveCount how many members the view had live before
     */
    Set<InstanceId> obeyed(Set<InstanceId> missing, int liveCount, long nowMillis) {
        absences.keySet().retainAll(missing);
        missing.forEach(id -> absences.merge(id, new Absence(nowMillis, 1), (known, first) -> known.again()));
        if (missing.isEmpty()) {
            return Set.of();
        }
        renewWindow(liveCount, nowMillis);
        if (missing.size() <= freeRemovals) {
            freeRemovals -= missing.size();
            absences.clear();
            return Set.copyOf(missing);
        }
        long confirmMillis = rule.confirmMillis(missing.size(), liveCount);
        Set<InstanceId> confirmed = new HashSet<>();
        absences.forEach((id, absence) -> {
            boolean isLongEnough = nowMillis - absence.sinceMillis() >= confirmMillis;
            if (isLongEnough && absence.lists() >= rule.confirmLists()) {
                confirmed.add(id);
            }
        });
        absences.keySet().removeAll(confirmed);
        return confirmed;
    }

    private void renewWindow(int liveCount, long nowMillis) {
        boolean isOver = windowStartMillis == Long.MIN_VALUE || nowMillis - windowStartMillis >= rule.windowMillis();
        if (isOver) {
            windowStartMillis = nowMillis;
            freeRemovals = rule.freeRemovals(liveCount);
        }
    }

    private record Absence(long sinceMillis, int lists) {
        Absence again() {
            return new Absence(sinceMillis, lists + 1);
        }
    }
}
