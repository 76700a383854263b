package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;

/**
 * The state of an endpoint as known to an entry instance when it chooses an endpoint for a request.
 *
 * @param id the id of the endpoint
 * @param failureDomain the failure domain of the endpoint
 * @param load the latest load report of the endpoint
 * @param loadAgeMillis the age of that report
 * @param sentSinceTokens the tokens of work that this entry instance has sent to the endpoint since that report
 * @param outstandingRequests the number of unfinished requests of this entry instance at the endpoint
 * @param prefixHitTokens the expected number of prompt tokens found in the prefix cache of the endpoint
 * @param delayRatio the recent time to the first token relative to its estimate, or 1 if unknown
 */
public record EndpointState(
        EndpointId id,
        FailureDomain failureDomain,
        LoadReport load,
        long loadAgeMillis,
        long sentSinceTokens,
        int outstandingRequests,
        long prefixHitTokens,
        double delayRatio) {
    /** Creates the state of an endpoint with an unknown delay ratio. */
    public EndpointState(
            EndpointId id,
            FailureDomain failureDomain,
            LoadReport load,
            long loadAgeMillis,
            long sentSinceTokens,
            int outstandingRequests,
            long prefixHitTokens) {
        this(id, failureDomain, load, loadAgeMillis, sentSinceTokens, outstandingRequests, prefixHitTokens, 1);
    }
}
