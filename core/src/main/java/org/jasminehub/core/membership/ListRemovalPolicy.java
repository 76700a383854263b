package org.jasminehub.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.identity.InstanceId;

/** Decides by a {@link ListRemovalRule} which members may be removed because the platform's list lacks them. */
final class ListRemovalPolicy {
    private final ListRemovalRule rule;
    private final Map<InstanceId, Absence> absencesById = new HashMap<>();
    private long windowStartMillis = Long.MIN_VALUE;
    private int immediateRemovals;

    ListRemovalPolicy(ListRemovalRule rule) {
        this.rule = rule;
    }

    /**
     * Returns the members that may be removed now.
     *
     * @param missing the live members of the view that the newest list does not show as live
     * @param liveCount the number of live members in the view before this list
     * @param nowMillis the current monotonic time
     */
    Set<InstanceId> permittedRemovals(Set<InstanceId> missing, int liveCount, long nowMillis) {
        absencesById.keySet().retainAll(missing);
        missing.forEach(id -> absencesById.merge(id, new Absence(nowMillis, 1), (known, first) -> known.next()));
        if (missing.isEmpty()) {
            return Set.of();
        }
        startWindowIfOver(liveCount, nowMillis);
        if (missing.size() <= immediateRemovals) {
            immediateRemovals -= missing.size();
            absencesById.clear();
            return Set.copyOf(missing);
        }
        long confirmMillis = rule.confirmMillis(missing.size(), liveCount);
        Set<InstanceId> confirmed = new HashSet<>();
        absencesById.forEach((id, absence) -> {
            boolean isLongEnough = nowMillis - absence.sinceMillis() >= confirmMillis;
            if (isLongEnough && absence.lists() >= rule.confirmLists()) {
                confirmed.add(id);
            }
        });
        absencesById.keySet().removeAll(confirmed);
        return confirmed;
    }

    private void startWindowIfOver(int liveCount, long nowMillis) {
        boolean isOver = windowStartMillis == Long.MIN_VALUE || nowMillis - windowStartMillis >= rule.windowMillis();
        if (isOver) {
            windowStartMillis = nowMillis;
            immediateRemovals = rule.immediateRemovals(liveCount);
        }
    }

    private record Absence(long sinceMillis, int lists) {
        Absence next() {
            return new Absence(sinceMillis, lists + 1);
        }
    }
}
