package org.jasminehub.core.routing;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.FailureDomain;

/**
 * The properties of a request that the choice of its endpoint depends on.
 *
 * @param origin the failure domain of the entry instance that routes the request
 * @param promptTokens the estimated length of the prompt
 * @param maxAnswerTokens the maximum length of the answer
 * @param priority the priority of the request
 * @param remainingMillis the time left until the deadline
 */
public record RoutingRequest(
        FailureDomain origin, long promptTokens, long maxAnswerTokens, Priority priority, long remainingMillis) {}
