package org.jasminehub.core.admission;

import java.util.TreeSet;
import org.jasminehub.core.document.Priority;

/** The queue of one workspace, with the virtual time up to which the workspace has been served. */
final class WorkspaceQueue {
    private final TreeSet<QueuedWork> work = new TreeSet<>(QueuedWork.ORDER);
    private final long[] queuedTokens = new long[Priority.values().length];
    private int weight;
    private double servedUntil;

    WorkspaceQueue(int weight) {
        this.weight = weight;
    }

    void add(QueuedWork item) {
        weight = item.request().weight();
        work.add(item);
        queuedTokens[item.priority().ordinal()] += item.workTokens();
    }

    boolean remove(QueuedWork item) {
        boolean removed = work.remove(item);
        if (removed) {
            queuedTokens[item.priority().ordinal()] -= item.workTokens();
        }
        return removed;
    }

    boolean isEmpty() {
        return work.isEmpty();
    }

    QueuedWork first() {
        return work.first();
    }

    QueuedWork last() {
        return work.last();
    }

    int weight() {
        return weight;
    }

    double servedUntil() {
        return servedUntil;
    }

    /** Charges the workspace for work that leaves the queue at virtual time {@code startTag}. */
    void charge(double startTag, long workTokens) {
        servedUntil = startTag + (double) workTokens / weight;
    }

    /** Returns the tokens of work ahead of {@code item} within this workspace. */
    long tokensBefore(QueuedWork item) {
        return work.headSet(item).stream().mapToLong(QueuedWork::workTokens).sum();
    }

    long queuedTokens() {
        long sum = 0;
        for (long tokens : queuedTokens) {
            sum += tokens;
        }
        return sum;
    }

    long queuedTokens(Priority priority) {
        return queuedTokens[priority.ordinal()];
    }
}
