package org.jasminehub.core.routing;

import org.jasminehub.core.internal.Checks;

/**
 * What an agent reports of its endpoint.
 *
 * @param queuedTokens tokens of work that wait for admission
 * @param runningRequests requests that run
 * @param capacityRequests requests that can run at a time
 * @param stepMillis the group's present time for one step
 * @param prefillTokensPerSecond how fast prompts are read
 * @param accepting whether it takes new work
 */
public record LoadReport(
        long queuedTokens,
        int runningRequests,
        int capacityRequests,
        double stepMillis,
        double prefillTokensPerSecond,
        boolean accepting) {
    /** Creates a checked report. */
    public LoadReport {
        Checks.notNegative("queuedTokens", queuedTokens);
        Checks.notNegative("runningRequests", runningRequests);
        Checks.notNegative("capacityRequests", capacityRequests);
        Checks.notNegative("stepMillis", (long) stepMillis);
        Checks.notNegative("prefillTokensPerSecond", (long) prefillTokensPerSecond);
    }

    /** Returns the report assumed of an endpoint that has sent none. */
    public static LoadReport unknown() {
        return new LoadReport(0, 0, 1, 0, 0, true);
    }
}
