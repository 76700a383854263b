package org.jasminehub.gateway.experts;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Turns one rank's running counts of chosen experts into what is new. Not safe for use by several threads. */
final class ExpertCounts {
    private List<Long> last = List.of();

    /** Returns by how much {@code counts} grew since they were last taken, null where there is nothing to compare. */
    long @Nullable [] takeNew(List<Long> counts) {
        List<Long> before = last;
        last = counts;
        if (before.size() != counts.size()) {
            return null;
        }
        long[] grown = new long[counts.size()];
        for (int index = 0; index < grown.length; index++) {
            grown[index] = counts.get(index) - before.get(index);
            if (grown[index] < 0) {
                // The rank has started again and counts from nothing.
                return null;
            }
        }
        return grown;
    }

    void clear() {
        last = List.of();
    }
}
