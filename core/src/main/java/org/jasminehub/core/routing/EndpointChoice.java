package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;

/**
 * The result of an endpoint policy.
 *
 * @param endpoint the chosen endpoint
 * @param estimateMillis the estimated time to the first token, or 0 if the policy does not estimate it
 * @param considered the number of endpoints compared
 * @param reason a short, stable keyword for the decision log
 */
public record EndpointChoice(EndpointId endpoint, double estimateMillis, int considered, String reason) {}
