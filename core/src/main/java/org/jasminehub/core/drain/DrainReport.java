package org.jasminehub.core.drain;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * The account of a planned stop.
 *
 * @param instance the instance that stopped
 * @param elapsedMillis how long the stop took
 * @param remainingRequests how many requests were still open and have been cut
 * @param areKeysMoved whether every operation key has a new home; true for an entry instance
 */
public record DrainReport(String instance, long elapsedMillis, int remainingRequests, boolean areKeysMoved)
        implements Event {
    @Override
    public EventKind kind() {
        return isWhole() ? DrainEventKind.DRAIN_ENDED : DrainEventKind.DRAIN_CUT_SHORT;
    }

    /** Tells whether nothing was cut and nothing left behind. */
    public boolean isWhole() {
        return remainingRequests == 0 && areKeysMoved;
    }
}
