package org.jasminehub.core.admission;

import org.jasminehub.core.internal.Checks;

/**
 * The limits of an agent's queue.
 *
 * @param maxQueuedTokens the number of tokens of work that may wait
 * @param urgentHeadStartTokens the tokens by which a workspace's urgent work may go ahead of its fair share
 * @param maxRetryAfterMillis the longest time after which a refused caller is asked to retry
 */
public record AdmissionSettings(long maxQueuedTokens, long urgentHeadStartTokens, long maxRetryAfterMillis) {
    /** Creates settings; only {@code urgentHeadStartTokens} may be 0. */
    public AdmissionSettings {
        Checks.positive("maxQueuedTokens", maxQueuedTokens);
        Checks.notNegative("urgentHeadStartTokens", urgentHeadStartTokens);
        Checks.positive("maxRetryAfterMillis", maxRetryAfterMillis);
    }

    /** Returns the default settings. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(30_000, 10_000, 30_000);
    }
}
