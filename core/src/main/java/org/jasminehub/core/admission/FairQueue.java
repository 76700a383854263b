package org.jasminehub.core.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.WorkspaceId;

/**
 * Orders waiting work by start-time fair queueing over workspaces, with a bounded head start by priority.
 *
 * <p>The virtual time of a workspace increases by its work divided by its weight. The next work is taken from the
 * workspace with the lowest virtual time, reduced by a head start for urgent work. The head start is bounded in tokens,
 * so a large amount of urgent work of one workspace delays other workspaces by no more than that.
 *
 * <p>Not thread-safe.
 */
final class FairQueue {
    private final Map<WorkspaceId, WorkspaceQueue> queues = new LinkedHashMap<>();
    private final double[] headStartTokens;
    private double virtualTime;
    private long queuedTokens;

    FairQueue(long urgentHeadStartTokens) {
        headStartTokens = new double[Priority.values().length];
        headStartTokens[Priority.URGENT.ordinal()] = urgentHeadStartTokens;
        headStartTokens[Priority.NORMAL.ordinal()] = urgentHeadStartTokens / 2.0;
    }

    void add(QueuedWork item) {
        AdmissionRequest request = item.request();
        queues.computeIfAbsent(request.workspace(), key -> new WorkspaceQueue(request.weight()))
                .add(item);
        queuedTokens += item.workTokens();
    }

    void remove(QueuedWork item) {
        WorkspaceQueue queue = queues.get(item.request().workspace());
        if (queue != null && queue.remove(item)) {
            queuedTokens -= item.workTokens();
            removeIdle();
        }
    }

    /** Removes the next work in order and charges its workspace. */
    Optional<QueuedWork> poll() {
        Optional<WorkspaceQueue> next =
                backlogged().stream().min(Comparator.comparingDouble(queue -> orderTag(queue, 0, queue.first())));
        next.ifPresent(queue -> virtualTime =
                backlogged().stream().mapToDouble(this::startTag).min().orElse(virtualTime));
        return next.map(this::take);
    }

    private QueuedWork take(WorkspaceQueue queue) {
        QueuedWork item = queue.first();
        double startTag = startTag(queue);
        queue.remove(item);
        queue.charge(startTag, item.workTokens());
        queuedTokens -= item.workTokens();
        removeIdle();
        return item;
    }

    /** Charges a workspace for work that started without waiting. */
    void charge(AdmissionRequest request, long workTokens) {
        WorkspaceQueue queue = queues.computeIfAbsent(request.workspace(), key -> new WorkspaceQueue(request.weight()));
        queue.charge(startTag(queue), workTokens);
        virtualTime = Math.max(virtualTime, queue.servedUntil());
        removeIdle();
    }

    /** Returns the last work in order. */
    Optional<QueuedWork> last() {
        return backlogged().stream()
                .max(Comparator.comparingDouble(queue -> {
                    QueuedWork item = queue.last();
                    return orderTag(queue, queue.queuedTokens() - item.workTokens(), item);
                }))
                .map(WorkspaceQueue::last);
    }

    /** Returns the tokens of work ahead of {@code item}, which must be in the queue. */
    double tokensAhead(QueuedWork item) {
        WorkspaceQueue own = queues.get(item.request().workspace());
        if (own == null) {
            return 0;
        }
        long ownTokens = own.tokensBefore(item);
        double limit = orderTag(own, ownTokens, item);
        double ahead = ownTokens;
        for (WorkspaceQueue other : queues.values()) {
            if (other != own) {
                ahead += tokensBefore(limit, other);
            }
        }
        return ahead;
    }

    /** Returns the tokens of {@code queue} that are ordered before the tag {@code limit}. */
    private double tokensBefore(double limit, WorkspaceQueue queue) {
        double total = 0;
        for (Priority priority : Priority.values()) {
            double endTag = limit - startTag(queue) + headStartTokens[priority.ordinal()] / queue.weight();
            double queued = queue.queuedTokens(priority);
            double ahead = Math.max(0, Math.min(queued, endTag * queue.weight() - total));
            total += ahead;
            if (ahead < queued) {
                break;
            }
        }
        return total;
    }

    /** Returns the share of the endpoint that the workspace receives among the workspaces with waiting work. */
    double share(AdmissionRequest request) {
        double others = queues.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(request.workspace()))
                .filter(entry -> !entry.getValue().isEmpty())
                .mapToInt(entry -> entry.getValue().weight())
                .sum();
        return request.weight() / (others + request.weight());
    }

    long queuedTokens() {
        return queuedTokens;
    }

    boolean isEmpty() {
        return queuedTokens == 0;
    }

    private double orderTag(WorkspaceQueue queue, long tokensBefore, QueuedWork item) {
        double headStart = headStartTokens[item.priority().ordinal()];
        return startTag(queue) + (tokensBefore - headStart) / queue.weight();
    }

    private double startTag(WorkspaceQueue queue) {
        return Math.max(queue.servedUntil(), virtualTime);
    }

    private Collection<WorkspaceQueue> backlogged() {
        return queues.values().stream().filter(queue -> !queue.isEmpty()).toList();
    }

    private void removeIdle() {
        queues.values().removeIf(queue -> queue.isEmpty() && queue.servedUntil() <= virtualTime);
    }
}
