package org.jasminehub.core.document;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * The share of resources and the limits of one workspace.
 *
 * @param name the name of the workspace
 * @param weight the share of the workspace relative to others when capacity is insufficient, at least 1
 * @param requestsPerSecond the limit on new requests per second, over all entry instances
 * @param tokensPerSecond the limit on prompt and response tokens per second, over all entry instances
 * @param concurrentRequests the limit on concurrently running requests, over all entry instances
 */
public record WorkspaceRule(
        String name, int weight, int requestsPerSecond, int tokensPerSecond, int concurrentRequests) {
    /** Creates a rule and validates its components. */
    public WorkspaceRule {
        Checks.notBlank("name", name);
        Checks.positive("weight", weight);
        Checks.positive("requestsPerSecond", requestsPerSecond);
        Checks.positive("tokensPerSecond", tokensPerSecond);
        Checks.positive("concurrentRequests", concurrentRequests);
    }

    /** Returns the name of the workspace as a {@link WorkspaceId}. */
    public WorkspaceId workspaceId() {
        return new WorkspaceId(name);
    }
}
