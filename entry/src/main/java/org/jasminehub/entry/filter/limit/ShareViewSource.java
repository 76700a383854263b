package org.jasminehub.entry.filter.limit;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.limit.ShareView;

/** Tells an entry instance its place among those that share a workspace's limits. Safe for use by several threads. */
@FunctionalInterface
public interface ShareViewSource {
    /** Returns the present place. */
    ShareView viewOf(WorkspaceId workspace);
}
