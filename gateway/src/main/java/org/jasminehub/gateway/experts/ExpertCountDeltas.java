package org.jasminehub.gateway.experts;

import org.jspecify.annotations.Nullable;

/**
 * Computes the increases of one rank's cumulative expert counts.
 *
 * <p>Load pattern: a rank counts the choices of thousands of experts, and most cumulative counts need three bytes in a
 * message, the increases between two reports only one.
 *
 * <p>Not thread-safe.
 */
final class ExpertCountDeltas {
    private long[] lastCounts = new long[0];

    /** Returns the increase of each count since the previous call, null if the counts cannot be compared. */
    long @Nullable [] update(long[] counts) {
        long[] previous = lastCounts;
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
