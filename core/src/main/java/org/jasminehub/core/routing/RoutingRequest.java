package org.jasminehub.core.routing;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.FailureDomain;

/**
 * What the choice of an endpoint depends on.
 *
 * @param origin the failure domain of the entry instance that asks
 * @param promptTokens the prompt's estimated length
 * @param maxAnswerTokens the most tokens the answer may have
 * @param priority which work goes first
 * @param remainingMillis how long until the deadline
 */
public record RoutingRequest(
        FailureDomain origin, long promptTokens, long maxAnswerTokens, Priority priority, long remainingMillis) {}
