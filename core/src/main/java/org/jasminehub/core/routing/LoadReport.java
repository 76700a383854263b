package org.jasminehub.core.routing;

import org.jasminehub.core.internal.Checks;

/**
 * The load of an endpoint as reported by its agent.
 *
 * @param queuedTokens the tokens of work that wait for admission
 * @param runningRequests the number of running requests
 * @param capacityRequests the number of requests that can run concurrently
 * @param stepMillis the current duration of one step of the group
 * @param prefillTokensPerSecond the number of prompt tokens processed per second
 * @param accepting whether the endpoint accepts new work
 */
public record LoadReport(
        long queuedTokens,
        int runningRequests,
        int capacityRequests,
        double stepMillis,
        double prefillTokensPerSecond,
        boolean accepting) {
    /** Creates a report; numbers must not be negative. */
    public LoadReport {
        Checks.notNegative("queuedTokens", queuedTokens);
        Checks.notNegative("runningRequests", runningRequests);
        Checks.notNegative("capacityRequests", capacityRequests);
        Checks.notNegative("stepMillis", (long) stepMillis);
        Checks.notNegative("prefillTokensPerSecond", (long) prefillTokensPerSecond);
    }

    /** Returns the report assumed for an endpoint that has not sent one. */
    public static LoadReport unknown() {
        return new LoadReport(0, 0, 1, 0, 0, true);
    }
}
