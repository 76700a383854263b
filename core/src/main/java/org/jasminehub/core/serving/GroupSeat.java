package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * An endpoint's place in a group of model engines that step together.
 *
 * @param group the group's name
 * @param epoch grows each time the group forms anew
 * @param rank the endpoint's number in the group, from 0
 * @param size how many ranks the group has
 * @param isOpen whether the group takes work
 */
public record GroupSeat(String group, long epoch, int rank, int size, boolean isOpen) {
    /** Creates a seat; {@code rank} must be below {@code size}. */
    public GroupSeat {
        Checks.notBlank("group", group);
        Checks.that(rank >= 0 && rank < size, "rank", rank, "from 0 to below " + size);
    }
}
