package org.jasminehub.core.admission;

import java.util.Comparator;
import org.jasminehub.core.document.Priority;

/**
 * A request in the queue.
 *
 * @param request the request
 * @param workTokens the estimated work of the request
 * @param latestStartMillis the latest time at which the request can start and still meet its deadline
 * @param sequence the position of the request in the order of arrival
 */
record QueuedWork(AdmissionRequest request, long workTokens, long latestStartMillis, long sequence) {
    /** The order within a workspace: by priority, then by latest start, then by arrival. */
    static final Comparator<QueuedWork> ORDER = Comparator.comparing(QueuedWork::priority)
            .thenComparingLong(QueuedWork::latestStartMillis)
            .thenComparingLong(QueuedWork::sequence);

    Priority priority() {
        return request.priority();
    }
}
