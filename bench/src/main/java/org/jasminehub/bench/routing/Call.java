package org.jasminehub.bench.routing;

import java.util.HashSet;
import java.util.Set;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.routing.PromptPrefix;

/** A request of a caller, with its attempts and its result. */
final class Call {
    final long id;
    final WorkspaceId workspace;
    final RequestShape shape;
    final PromptPrefix prefix;
    final long answerTokens;
    final double arrivedMillis;
    final Set<EndpointId> tried = new HashSet<>();
    int attempts;
    double estimateMillis;
    double sentMillis;
    double firstTokenMillis = -1;
    double endMillis = -1;
    long hitTokens;

    Call(
            long id,
            WorkspaceId workspace,
            RequestShape shape,
            PromptPrefix prefix,
            long answerTokens,
            double arrivedMillis) {
        this.id = id;
        this.workspace = workspace;
        this.shape = shape;
        this.prefix = prefix;
        this.answerTokens = answerTokens;
        this.arrivedMillis = arrivedMillis;
    }

    boolean isInTime() {
        return endMillis >= 0 && endMillis - arrivedMillis <= shape.deadlineMillis();
    }

    boolean isUrgent() {
        return shape.priority() == Priority.URGENT;
    }
}
