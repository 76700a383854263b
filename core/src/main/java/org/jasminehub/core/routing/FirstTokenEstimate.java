package org.jasminehub.core.routing;

import org.jasminehub.core.internal.Checks;

/**
 * Estimates how long a request would wait for its first token at an endpoint.
 *
 * <p>The sum of the way there and back, the wait for a place in the batch, the reading of the prompt and one step. The
 * reported queue, with the work that this entry instance sent since, counts less as the report ages. The fleet's median
 * takes its place, corrected by how far this entry instance's outstanding requests there differ from those elsewhere.
 * Own work counts times the number of entry instances, which send alike. Immutable.
 */
public final class FirstTokenEstimate {
    private static final double MILLIS_PER_SECOND = 1000;

    private final NetworkDistance distance;
    private final double reportHalfLifeMillis;
    private final double entryInstances;

    /**
     * Creates an estimate.
     *
     * @param distance how far failure domains are apart
     * @param reportHalfLifeMillis after what age a reported queue counts half
     * @param entryInstances how many entry instances send work to the same endpoints
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
        boolean usable = FleetMedian.isUsable(state);
        double stepMillis = usable ? state.load().stepMillis() : fleet.stepMillis();
        double prefillRate = usable ? state.load().prefillTokensPerSecond() : fleet.prefillTokensPerSecond();
        double trust = usable ? Math.pow(2, -state.loadAgeMillis() / reportHalfLifeMillis) : 0;

        double wayMillis = 2 * distance.oneWayMillis(request.origin(), state.failureDomain());
        double engineMillis = queueMillis(request, state, fleet, trust, stepMillis)
                + prefillMillis(request, state, prefillRate)
                + stepMillis;
        return wayMillis + engineMillis * relativeDelay(state, fleet);
    }

    private double queueMillis(
            RoutingRequest request, EndpointState state, FleetMedian fleet, double trust, double stepMillis) {
        double capacity = trust > 0 ? Math.max(1, state.load().capacityRequests()) : fleet.capacityRequests();
        double workTokens = WorkCost.tokens(request.promptTokens(), request.maxAnswerTokens());
        double reportedTokens = state.load().queuedTokens()
                + state.sentSinceTokens() * entryInstances
                + FleetMedian.occupancy(state) * capacity * workTokens;
        double medianTokens = fleet.queuedTokens() + fleet.occupancy() * capacity * workTokens;
        double ownDifference = state.outstandingRequests() - fleet.outstandingRequests();
        double assumedTokens = medianTokens + ownDifference * entryInstances * workTokens;
        double presentTokens = trust * reportedTokens + (1 - trust) * Math.max(0, assumedTokens);
        double fullTokens = capacity * workTokens;
        double waitingTokens = Math.max(0, presentTokens - fullTokens);
        double usedShare = Math.min(1, presentTokens / fullTokens);
        return (waitingTokens / capacity + usedShare) * stepMillis;
    }

    private static double prefillMillis(RoutingRequest request, EndpointState state, double prefillRate) {
        long hitTokens = Math.min(request.promptTokens(), state.prefixHitTokens());
        return (request.promptTokens() - hitTokens) * MILLIS_PER_SECOND / prefillRate;
    }

    /** An endpoint that is slower than its reports say shows in its delays; the fleet's own bias is divided out. */
    private static double relativeDelay(EndpointState state, FleetMedian fleet) {
        return Math.max(1, state.delayRatio() / Math.max(1, fleet.delayRatio()));
    }
}
