package org.jasminehub.core.overload;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.Route;

/**
 * What decides about the place of a call in the queue of its service.
 *
 * @param priority the priority, 0 being the highest
 * @param turn the order within the priority
 * @param workspace the workspace, empty if the call has none
 * @param firstAttemptMillis when the caller sent the call first, by the monotonic clock of this instance
 * @param isFirstAttempt whether the caller sends the call for the first time
 * @param sequence the order of arrival at this instance, which tells calls apart
 */
public record QueuedCall(
        int priority, CallTurn turn, String workspace, long firstAttemptMillis, boolean isFirstAttempt, long sequence) {
    /** Creates the description of a call. */
    public QueuedCall {
        Checks.inRange("priority", priority, 0, PriorityCounts.PRIORITIES - 1);
    }

    /** Returns the description of a call that arrives at {@code nowMillis} and allows {@code allowedMillis}. */
    public static QueuedCall arriving(
            int priority, Route route, long allowedMillis, String workspace, long nowMillis, long sequence) {
        long sinceFirstMillis = CallTurn.sinceFirstAttemptMillis(route, allowedMillis);
        return new QueuedCall(
                priority,
                CallTurn.of(route, allowedMillis),
                workspace,
                nowMillis - sinceFirstMillis,
                CallTurn.isFirstAttempt(sinceFirstMillis),
                sequence);
    }

    QueuedCall withTurn(CallTurn other) {
        return new QueuedCall(priority, other, workspace, firstAttemptMillis, isFirstAttempt, sequence);
    }
}
