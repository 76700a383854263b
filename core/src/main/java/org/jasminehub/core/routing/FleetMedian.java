package org.jasminehub.core.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The middle of what the candidates report, which stands in for what one of them does not report.
 *
 * @param stepMillis the time for one step
 * @param prefillTokensPerSecond how fast prompts are read
 * @param queuedTokens tokens of work that wait
 * @param capacityRequests requests that can run at a time
 * @param occupancy the share of running requests in those that can run
 * @param outstandingRequests requests of this entry instance that an endpoint has not finished
 * @param delayRatio how long first tokens took, relative to their estimates
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
        List<EndpointState> known =
                states.stream().filter(FleetMedian::isUsable).toList();
        return new FleetMedian(
                median(known, state -> state.load().stepMillis(), DEFAULT_STEP_MILLIS),
                median(known, state -> state.load().prefillTokensPerSecond(), DEFAULT_PREFILL_TOKENS_PER_SECOND),
                median(known, state -> state.load().queuedTokens(), 0),
                median(known, state -> state.load().capacityRequests(), 1),
                median(known, FleetMedian::occupancy, 0),
                median(states, EndpointState::outstandingRequests, 0),
                median(known, EndpointState::delayRatio, 1));
    }

    /** Tells whether the endpoint's report holds figures that an engine can have. */
    static boolean isUsable(EndpointState state) {
        return isRate(state.load().stepMillis()) && isRate(state.load().prefillTokensPerSecond());
    }

    static double occupancy(EndpointState state) {
        int running = Math.max(state.load().runningRequests(), state.outstandingRequests());
        return (double) running / Math.max(1, state.load().capacityRequests());
    }

    private static boolean isRate(double value) {
        return value > 0 && value < Double.POSITIVE_INFINITY;
    }

    private static double median(List<EndpointState> states, ToDoubleFunction<EndpointState> figure, double otherwise) {
        double[] sorted = states.stream().mapToDouble(figure).sorted().toArray();
        return sorted.length == 0 ? otherwise : sorted[sorted.length / 2];
    }
}
