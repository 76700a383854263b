package org.jasminehub.core.drain;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * The result of a drain.
 *
 * @param instance the instance that was drained
 * @param elapsedMillis the duration of the drain
 * @param remainingRequests the number of requests that were still open and have been interrupted
 * @param areKeysMoved whether every operation key has moved to a new home; always true for an entry instance
 */
public record DrainReport(String instance, long elapsedMillis, int remainingRequests, boolean areKeysMoved)
        implements Event {
    @Override
    public EventKind kind() {
        return isWhole() ? DrainEventKind.DRAIN_ENDED : DrainEventKind.DRAIN_CUT_SHORT;
    }

    /** Returns whether no request was interrupted and every operation key has moved. */
    public boolean isWhole() {
        return remainingRequests == 0 && areKeysMoved;
    }
}
