package org.jasminehub.gateway.experts;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Computes the increases of one rank's cumulative expert counts. Not thread-safe. */
final class ExpertCountDeltas {
    private List<Long> lastCounts = List.of();

    /** Returns the increase of each count since the previous call, null if the counts cannot be compared. */
    long @Nullable [] update(List<Long> counts) {
        List<Long> previous = lastCounts;
        lastCounts = counts;
        if (previous.size() != counts.size()) {
            return null;
        }
        long[] increases = new long[counts.size()];
        for (int index = 0; index < increases.length; index++) {
            increases[index] = counts.get(index) - previous.get(index);
            if (increases[index] < 0) {
                // The rank has restarted and counts from zero.
                return null;
            }
        }
        return increases;
    }

    void clear() {
        lastCounts = List.of();
    }
}
