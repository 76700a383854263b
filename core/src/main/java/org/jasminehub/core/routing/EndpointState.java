package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;

/**
 * What an entry instance knows of one endpoint when it chooses.
 *
 * @param id the endpoint
 * @param failureDomain where it runs
 * @param load its last load report
 * @param loadAgeMillis how old that report is
 * @param sentSinceTokens tokens of work that this entry instance sent it since that report
 * @param outstandingRequests requests of this entry instance that it has not finished
 * @param prefixHitTokens how many of the prompt's tokens it probably still has in its prefix cache
 * @param delayRatio how long first tokens took lately, relative to their estimates; 1 where nothing is known
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
    /** Creates the state of an endpoint of whose delays nothing is known. */
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
