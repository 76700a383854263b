package org.jasminehub.core.document;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * What one workspace may use.
 *
 * @param name the workspace's name
 * @param weight its share relative to other workspaces when not all work fits, at least 1
 * @param requestsPerSecond requests it may start a second over all entry instances
 * @param tokensPerSecond tokens, of prompts and answers, it may use a second over all entry instances
 * @param concurrentRequests requests it may have running at a time over all entry instances
 */
public record WorkspaceRule(
        String name, int weight, int requestsPerSecond, int tokensPerSecond, int concurrentRequests) {
    /** Creates a checked rule. */
    public WorkspaceRule {
        Checks.notBlank("name", name);
        Checks.positive("weight", weight);
        Checks.positive("requestsPerSecond", requestsPerSecond);
        Checks.positive("tokensPerSecond", tokensPerSecond);
        Checks.positive("concurrentRequests", concurrentRequests);
    }

    /** Returns the workspace's name as an identity. */
    public WorkspaceId workspaceId() {
        return new WorkspaceId(name);
    }
}
