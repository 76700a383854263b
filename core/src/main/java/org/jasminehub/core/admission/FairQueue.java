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
 * <p>Each workspace's virtual time grows by its work divided by its weight. Work of the workspace with the lowest
 * virtual time goes next, after a head start for urgent work is taken off. The head start is bounded in tokens, so that
 * a flood of urgent work of one workspace delays the others by no more than that. Not safe for use by several threads.
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
            forgetIdle();
        }
    }

    /** Takes out the work that goes next and charges its workspace. */
    Optional<QueuedWork> poll() {
        Optional<WorkspaceQueue> next =
                backlogged().stream().min(Comparator.comparingDouble(queue -> rank(queue, 0, queue.first())));
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
        forgetIdle();
        return item;
    }

    /** Charges a workspace for work that started without waiting. */
    void charge(AdmissionRequest request, long workTokens) {
        WorkspaceQueue queue = queues.computeIfAbsent(request.workspace(), key -> new WorkspaceQueue(request.weight()));
        queue.charge(startTag(queue), workTokens);
        virtualTime = Math.max(virtualTime, queue.servedUntil());
        forgetIdle();
    }

    /** Returns the work that would go last. */
    Optional<QueuedWork> last() {
        return backlogged().stream()
                .max(Comparator.comparingDouble(queue -> {
                    QueuedWork item = queue.last();
                    return rank(queue, queue.queuedTokens() - item.workTokens(), item);
                }))
                .map(WorkspaceQueue::last);
    }

    /** Returns how many tokens of the queue go before {@code item}, which is in the queue. */
    double tokensAhead(QueuedWork item) {
        WorkspaceQueue own = queues.get(item.request().workspace());
        if (own == null) {
            return 0;
        }
        long ownTokens = own.tokensBefore(item);
        double limit = rank(own, ownTokens, item);
        double ahead = ownTokens;
        for (WorkspaceQueue other : queues.values()) {
            if (other != own) {
                ahead += tokensBefore(limit, other);
            }
        }
        return ahead;
    }

    /** Returns the tokens of {@code queue} that are ranked before {@code limit}. */
    private double tokensBefore(double limit, WorkspaceQueue queue) {
        double served = 0;
        for (Priority priority : Priority.values()) {
            double until = limit - startTag(queue) + headStartTokens[priority.ordinal()] / queue.weight();
            double wanted = queue.queuedTokens(priority);
            double taken = Math.max(0, Math.min(wanted, until * queue.weight() - served));
            served += taken;
            if (taken < wanted) {
                break;
            }
        }
        return served;
    }

    /** Returns the share of the endpoint that the workspace gets among those that wait. */
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

    private double rank(WorkspaceQueue queue, long tokensBefore, QueuedWork item) {
        double headStart = headStartTokens[item.priority().ordinal()];
        return startTag(queue) + (tokensBefore - headStart) / queue.weight();
    }

    private double startTag(WorkspaceQueue queue) {
        return Math.max(queue.servedUntil(), virtualTime);
    }

    private Collection<WorkspaceQueue> backlogged() {
        return queues.values().stream().filter(queue -> !queue.isEmpty()).toList();
    }

    private void forgetIdle() {
        queues.values().removeIf(queue -> queue.isEmpty() && queue.servedUntil() <= virtualTime);
    }
}
