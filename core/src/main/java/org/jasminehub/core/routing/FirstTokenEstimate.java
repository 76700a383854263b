package org.jasminehub.core.routing;

import org.jasminehub.core.internal.Checks;

/**
 * Estimates the time to the first token of a request at an endpoint.
 *
 * <p>The estimate is the sum of the network round trip, the wait for a slot in the batch, the prefill of the prompt and
 * one step. The reported queue, including the work that this entry instance has sent since the report, loses weight as
 * the report ages. It is replaced gradually by the median queue of all candidates, corrected by the difference between
 * the outstanding requests of this entry instance at the endpoint and their median. Work of this entry instance is
 * multiplied by the number of entry instances, which are assumed to send the same amount.
 *
 * <p>Immutable.
 */
public final class FirstTokenEstimate {
    private static final double MILLIS_PER_SECOND = 1000;

    private final NetworkDistance distance;
    private final double reportHalfLifeMillis;
    private final double entryInstances;

    /**
     * Creates an estimate.
     *
     * @param distance the network delay between failure domains
     * @param reportHalfLifeMillis the age at which a reported queue has half its weight
     * @param entryInstances the number of entry instances that send work to the same endpoints
     */
    public FirstTokenEstimate(NetworkDistance distance, double reportHalfLifeMillis, double entryInstances) {
        Checks.inRange("reportHalfLifeMillis", reportHalfLifeMillis, 1, Double.MAX_VALUE);
        Checks.inRange("entryInstances", entryInstances, 1, Double.MAX_VALUE);
        this.distance = distance;
        this.reportHalfLifeMillis = reportHalfLifeMillis;
        this.entryInstances = entryInstances;
    }

    /** Returns the estimated time to the first token in milliseconds. */
    double millis(RoutingRequest request, EndpointState state, FleetMedian fleet) {
        boolean isUsable = FleetMedian.isUsable(state);
        double stepMillis = isUsable ? state.load().stepMillis() : fleet.stepMillis();
        double prefillRate = isUsable ? state.load().prefillTokensPerSecond() : fleet.prefillTokensPerSecond();
        double reportWeight = isUsable ? Math.pow(2, -state.loadAgeMillis() / reportHalfLifeMillis) : 0;

        double networkMillis = 2 * distance.oneWayMillis(request.origin(), state.failureDomain());
        double engineMillis = queueMillis(request, state, fleet, reportWeight, stepMillis)
                + prefillMillis(request, state, prefillRate)
                + stepMillis;
        return networkMillis + engineMillis * relativeDelay(state, fleet);
    }

    private double queueMillis(
            RoutingRequest request, EndpointState state, FleetMedian fleet, double reportWeight, double stepMillis) {
        double capacity = reportWeight > 0 ? Math.max(1, state.load().capacityRequests()) : fleet.capacityRequests();
        double workTokens = WorkCost.tokens(request.promptTokens(), request.maxAnswerTokens());
        double reportedTokens = state.load().queuedTokens()
                + state.sentSinceTokens() * entryInstances
                + FleetMedian.occupancy(state) * capacity * workTokens;
        double medianTokens = fleet.queuedTokens() + fleet.occupancy() * capacity * workTokens;
        double excessRequests = state.outstandingRequests() - fleet.outstandingRequests();
        double estimatedTokens = medianTokens + excessRequests * entryInstances * workTokens;
        double pendingTokens = reportWeight * reportedTokens + (1 - reportWeight) * Math.max(0, estimatedTokens);
        double batchTokens = capacity * workTokens;
        double waitingTokens = Math.max(0, pendingTokens - batchTokens);
        double batchOccupancy = Math.min(1, pendingTokens / batchTokens);
        return (waitingTokens / capacity + batchOccupancy) * stepMillis;
    }

    private static double prefillMillis(RoutingRequest request, EndpointState state, double prefillRate) {
        long hitTokens = Math.min(request.promptTokens(), state.prefixHitTokens());
        return (request.promptTokens() - hitTokens) * MILLIS_PER_SECOND / prefillRate;
    }

    /**
     * Returns the factor by which the endpoint is slower than its reports indicate, at least 1. Division by the median
     * delay ratio removes the bias that the estimates of all endpoints have in common.
     */
    private static double relativeDelay(EndpointState state, FleetMedian fleet) {
        return Math.max(1, state.delayRatio() / Math.max(1, fleet.delayRatio()));
    }
}
