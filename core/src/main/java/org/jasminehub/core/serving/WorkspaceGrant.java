package org.jasminehub.core.serving;

import org.jasminehub.core.identity.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The workspace and priority that an access key grants.
 *
 * @param workspace the workspace that owns the key
 * @param priority the priority of the workspace, 0 being the highest, or null to use the priority of the route
 */
public record WorkspaceGrant(
        WorkspaceId workspace, @Nullable Integer priority) {}
