package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * The membership of an endpoint in a group of model engines that run their steps together.
 *
 * <p>The string form of this record, including its name, is written to the log when an endpoint changes.
 *
 * @param group the name of the group
 * @param epoch increases each time the group re-forms
 * @param rank the number of the endpoint within the group, from 0
 * @param size the number of ranks in the group
 * @param isOpen whether the group accepts work
 */
public record GroupSeat(String group, long epoch, int rank, int size, boolean isOpen) {
    /** More than all accelerators of the largest deployment; bounds lists of all ranks. */
    public static final int MAX_SIZE = 65_536;

    /** Creates a membership; {@code rank} must be less than {@code size}, which is at most {@link #MAX_SIZE}. */
    public GroupSeat {
        Checks.notBlank("group", group);
        Checks.inRange("size", size, 1, MAX_SIZE);
        Checks.that(rank >= 0 && rank < size, "rank", rank, "from 0 to below " + size);
    }
}
