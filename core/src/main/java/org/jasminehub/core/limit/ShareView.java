package org.jasminehub.core.limit;

import org.jasminehub.core.internal.Checks;

/**
 * The position of an entry instance among the instances that share the limits of a workspace.
 *
 * @param rank the position in an order that all these instances agree on, from 0
 * @param size the number of these instances
 */
public record ShareView(int rank, int size) {
    /** Creates a view; {@code rank} must be less than {@code size}. */
    public ShareView {
        Checks.positive("size", size);
        Checks.inRange("rank", rank, 0, size - 1);
    }
}
