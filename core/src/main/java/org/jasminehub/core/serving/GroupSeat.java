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
    /** Creates a membership; {@code rank} must be less than {@code size}. */
    public GroupSeat {
        Checks.notBlank("group", group);
        Checks.that(rank >= 0 && rank < size, "rank", rank, "from 0 to below " + size);
    }
}
