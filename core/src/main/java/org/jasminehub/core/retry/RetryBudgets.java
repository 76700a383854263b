package org.jasminehub.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;

/**
 * The retry budgets of workspaces and services.
 *
 * <p>A retry is spent from the budgets of both its workspace and its service, or from neither. Thread-safe.
 */
public final class RetryBudgets {
    private static final int INITIAL_ENTRIES = 64;
    private static final float LOAD_FACTOR = 0.75f;
    private static final boolean ACCESS_ORDER = true;

    private final int reserve;
    private final Map<Object, RetryBudget> budgets;

    /**
     * Creates full budgets.
     *
     * @param reserve the maximum number of retries in a budget
     * @param maxBudgets the maximum number of budgets; the least recently used ones are dropped first
     */
    public RetryBudgets(int reserve, int maxBudgets) {
        this.reserve = reserve;
        this.budgets = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, ACCESS_ORDER) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Object, RetryBudget> eldest) {
                return size() > maxBudgets;
            }
        };
    }

    /** Adds {@code percent} of a retry to both budgets, for a first attempt. */
    public synchronized void earn(WorkspaceId workspace, Target service, int percent) {
        budget(workspace).earn(percent);
        budget(service).earn(percent);
    }

    /** Spends one retry from both budgets if each has one, and returns whether it did. */
    public synchronized boolean trySpend(WorkspaceId workspace, Target service) {
        RetryBudget workspaceBudget = budget(workspace);
        RetryBudget serviceBudget = budget(service);
        if (!workspaceBudget.hasRetry() || !serviceBudget.hasRetry()) {
            return false;
        }
        workspaceBudget.spend();
        serviceBudget.spend();
        return true;
    }

    private RetryBudget budget(Object key) {
        return budgets.computeIfAbsent(key, unused -> new RetryBudget(reserve));
    }
}
