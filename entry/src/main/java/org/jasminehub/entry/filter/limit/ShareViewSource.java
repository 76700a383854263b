package org.jasminehub.entry.filter.limit;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.limit.ShareView;

/** Supplies the rank of this entry instance among those that share a limit. Must be thread-safe. */
@FunctionalInterface
public interface ShareViewSource {
    /** Returns the current rank among, and number of, the instances that share the limits of {@code workspace}. */
    ShareView viewOf(WorkspaceId workspace);
}
