package org.jasminehub.core.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Medians over all candidate endpoints, used in place of missing or outdated reports.
 *
 * @param stepMillis the duration of one step
 * @param prefillTokensPerSecond the number of prompt tokens processed per second
 * @param queuedTokens the tokens of work in the queue
 * @param capacityRequests the number of requests that can run concurrently
 * @param occupancy the running requests as a share of the capacity
 * @param outstandingRequests the number of unfinished requests of this entry instance
 * @param delayRatio the recent time to the first token relative to its estimate
 */
record FleetMedian(
        double stepMillis,
        double prefillTokensPerSecond,
        double queuedTokens,
        double capacityRequests,
        double occupancy,
        double outstandingRequests,
        double delayRatio) {
    private static final double DEFAULT_STEP_MILLIS = 30;
    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

    static FleetMedian of(List<EndpointState> states) {
        List<EndpointState> reported =
                states.stream().filter(FleetMedian::isUsable).toList();
        return new FleetMedian(
                median(reported, state -> state.load().stepMillis(), DEFAULT_STEP_MILLIS),
                median(reported, state -> state.load().prefillTokensPerSecond(), DEFAULT_PREFILL_TOKENS_PER_SECOND),
                median(reported, state -> state.load().queuedTokens(), 0),
                median(reported, state -> state.load().capacityRequests(), 1),
                median(reported, FleetMedian::occupancy, 0),
                median(states, EndpointState::outstandingRequests, 0),
                median(reported, EndpointState::delayRatio, 1));
    }

    /** Returns whether the report of the endpoint contains values that are possible for an engine. */
    static boolean isUsable(EndpointState state) {
        return isPositiveFinite(state.load().stepMillis())
                && isPositiveFinite(state.load().prefillTokensPerSecond());
    }

    static double occupancy(EndpointState state) {
        int running = Math.max(state.load().runningRequests(), state.outstandingRequests());
        return (double) running / Math.max(1, state.load().capacityRequests());
    }

    private static boolean isPositiveFinite(double value) {
        return value > 0 && value < Double.POSITIVE_INFINITY;
    }

    private static double median(
            List<EndpointState> states, ToDoubleFunction<EndpointState> property, double defaultValue) {
        double[] sorted = states.stream().mapToDouble(property).sorted().toArray();
        return sorted.length == 0 ? defaultValue : sorted[sorted.length / 2];
    }
}
