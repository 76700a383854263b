package org.jasminehub.core.admission;

import org.jasminehub.core.internal.Checks;

/**
 * The bounds of an agent's queue.
 *
 * @param maxQueuedTokens how many tokens of work may wait
 * @param urgentHeadStartTokens how far a workspace's urgent work may go ahead of the workspace's fair share
 * @param maxRetryAfterMillis the longest time after which a refused caller is asked to come back
 */
public record AdmissionSettings(long maxQueuedTokens, long urgentHeadStartTokens, long maxRetryAfterMillis) {
    /** Creates checked settings. */
    public AdmissionSettings {
        Checks.positive("maxQueuedTokens", maxQueuedTokens);
        Checks.notNegative("urgentHeadStartTokens", urgentHeadStartTokens);
        Checks.positive("maxRetryAfterMillis", maxRetryAfterMillis);
    }

    /** Returns the bounds used where an operator sets none. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(30_000, 10_000, 30_000);
    }
}
