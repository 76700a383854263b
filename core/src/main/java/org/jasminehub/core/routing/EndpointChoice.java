package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;

/**
 * A choice and its reason.
 *
 * @param endpoint the endpoint chosen
 * @param estimateMillis the estimated time to the first token, or 0 where the policy makes none
 * @param considered how many endpoints were compared
 * @param reason a short stable word for the decision log
 */
public record EndpointChoice(EndpointId endpoint, double estimateMillis, int considered, String reason) {}
