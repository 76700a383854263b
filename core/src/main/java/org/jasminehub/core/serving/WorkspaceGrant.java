package org.jasminehub.core.serving;

import org.jasminehub.core.identity.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * What a key stands for.
 *
 * @param workspace the workspace that holds the key
 * @param priority the workspace's own rank, 0 first, null where the route's rank holds
 */
public record WorkspaceGrant(
        WorkspaceId workspace, @Nullable Integer priority) {}
