package org.jasminehub.core.limit;

import org.jasminehub.core.internal.Checks;

/**
 * An entry instance's place among those that share a workspace's limits.
 *
 * @param rank its place in their common order, from 0
 * @param size how many they are
 */
public record ShareView(int rank, int size) {
    /** Creates a checked view. */
    public ShareView {
        Checks.positive("size", size);
        Checks.inRange("rank", rank, 0, size - 1);
    }
}
