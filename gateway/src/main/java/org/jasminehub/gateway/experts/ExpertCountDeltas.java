package org.jasminehub.gateway.experts;

import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/** Computes the increases of one rank's cumulative expert counts. Not thread-safe. */
final class ExpertCountDeltas {
    private long[] lastCounts = new long[0];

    /** Returns the increase of each count since the previous call, null if the counts cannot be compared. */
    long @Nullable [] update(RankStatus status) {
        long[] previous = lastCounts;
        long[] counts = new long[status.getExpertCountsCount()];
        for (int index = 0; index < counts.length; index++) {
            counts[index] = status.getExpertCounts(index);
        }
        lastCounts = counts;
        if (previous.length != counts.length) {
            return null;
        }
        long[] increases = new long[counts.length];
        for (int index = 0; index < increases.length; index++) {
            increases[index] = counts[index] - previous[index];
            if (increases[index] < 0) {
                // The rank has restarted and counts from zero.
                return null;
            }
        }
        return increases;
    }

    void clear() {
        lastCounts = new long[0];
    }
}
