package org.jasminehub.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;

/**
 * The retries that workspaces and services have left.
 *
 * <p>A retry is spent from both its workspace's budget and its service's, or not at all. Safe for use by several
 * threads.
 */
public final class RetryBudgets {
    private static final int INITIAL_ENTRIES = 64;
    private static final float LOAD_FACTOR = 0.75f;
    private static final boolean BY_ACCESS = true;

    private final int reserve;
    private final Map<Object, RetryBudget> budgets;

    /**
     * Creates full budgets.
     *
     * @param reserve how many retries a budget holds at most
     * @param maxBudgets how many budgets are kept; the least used are dropped first
     */
    public RetryBudgets(int reserve, int maxBudgets) {
        this.reserve = reserve;
        this.budgets = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, BY_ACCESS) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Object, RetryBudget> eldest) {
                return size() > maxBudgets;
            }
        };
    }

    /** Notes a first attempt, which earns {@code percent} of a retry. */
    public synchronized void earn(WorkspaceId workspace, Target service, int percent) {
        budget(workspace).earn(percent);
        budget(service).earn(percent);
    }

    /** Spends one retry where both budgets have one, and tells whether they had. */
    public synchronized boolean trySpend(WorkspaceId workspace, Target service) {
        RetryBudget ofWorkspace = budget(workspace);
        RetryBudget ofService = budget(service);
        if (!ofWorkspace.hasRetry() || !ofService.hasRetry()) {
            return false;
        }
        ofWorkspace.spend();
        ofService.spend();
        return true;
    }

    private RetryBudget budget(Object key) {
        return budgets.computeIfAbsent(key, unused -> new RetryBudget(reserve));
    }
}
