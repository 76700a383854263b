package org.jasminehub.core.overload;

import java.util.List;
import java.util.Optional;

/**
 * The queue of a service at one instance or, as a sum, at several.
 *
 * @param waiting the calls that wait for a slot
 * @param started the calls that got a slot within the last second
 * @param refused the first attempts of callers that were refused for lack of a slot within the last second
 * @param ended the calls that ended and freed a slot within the last second
 */
public record QueueStatus(PriorityCounts waiting, PriorityCounts started, PriorityCounts refused, int ended) {
    /** A queue without calls and without load. */
    public static final QueueStatus IDLE =
            new QueueStatus(PriorityCounts.NONE, PriorityCounts.NONE, PriorityCounts.NONE, 0);

    /** Returns the status with the given counts by priority, or empty if a count is not possible. */
    public static Optional<QueueStatus> parse(
            List<Integer> waiting, List<Integer> started, List<Integer> refused, int ended) {
        Optional<PriorityCounts> waitingCounts = PriorityCounts.parse(waiting);
        Optional<PriorityCounts> startedCounts = PriorityCounts.parse(started);
        Optional<PriorityCounts> refusedCounts = PriorityCounts.parse(refused);
        return waitingCounts.isEmpty()
                        || startedCounts.isEmpty()
                        || refusedCounts.isEmpty()
                        || !PriorityCounts.isValid(ended)
                ? Optional.empty()
                : Optional.of(new QueueStatus(waitingCounts.get(), startedCounts.get(), refusedCounts.get(), ended));
    }

    /** Returns the sum of this status and {@code other}. */
    public QueueStatus plus(QueueStatus other) {
        return new QueueStatus(
                waiting.plus(other.waiting),
                started.plus(other.started),
                refused.plus(other.refused),
                ended + other.ended);
    }

    QueueStatus minus(QueueStatus other) {
        return new QueueStatus(
                waiting.minus(other.waiting),
                started.minus(other.started),
                refused.minus(other.refused),
                ended - other.ended);
    }

    /** Returns the share of {@code priority} in the calls that ask for slots, 0 if none do. */
    public double demandShare(int priority) {
        double total = waiting.total() + started.total() + refused.total();
        return total == 0 ? 0 : (waiting.get(priority) + started.get(priority) + refused.get(priority)) / total;
    }
}
