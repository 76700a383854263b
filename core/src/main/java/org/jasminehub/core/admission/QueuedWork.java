package org.jasminehub.core.admission;

import java.util.Comparator;
import org.jasminehub.core.document.Priority;

/**
 * A request in the queue.
 *
 * @param request the request
 * @param workTokens its estimated work
 * @param latestStartMillis when it must start to meet its deadline
 * @param sequence its place in the order of arrival
 */
record QueuedWork(AdmissionRequest request, long workTokens, long latestStartMillis, long sequence) {
    /** The order within a workspace: by priority, then by the latest start. */
    static final Comparator<QueuedWork> ORDER = Comparator.comparing(QueuedWork::priority)
            .thenComparingLong(QueuedWork::latestStartMillis)
            .thenComparingLong(QueuedWork::sequence);

    Priority priority() {
        return request.priority();
    }
}
