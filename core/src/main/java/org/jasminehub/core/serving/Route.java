package org.jasminehub.core.serving;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * A route of the gateway configuration.
 *
 * @param name the name used in log lines
 * @param host the value of the host header that the route matches, in lower case
 * @param pathPrefix the prefix of the paths that the route matches, starting and ending with a slash
 * @param kind whether and how calls may be retried
 * @param timeoutMillis the longest time that a call may take, counted from its arrival
 * @param targetLatencyMillis the target time to the response or, for streams, to the first event
 * @param maxPauseMillis the longest acceptable gap between two events of a stream, 0 for no bound
 * @param priority the priority of calls, 0 being the highest
 * @param services the services that receive the calls, with their weights
 * @param maxAttempts the number of endpoints that may run one call
 * @param isPublic whether calls need no key
 * @param isResumable whether an interrupted stream may be continued by another endpoint
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        long maxPauseMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic,
        boolean isResumable) {
    /** Creates a route; times and attempts must be positive. */
    public Route {
        Checks.notBlank("route", name);
        Checks.positive("timeoutMillis", timeoutMillis);
        Checks.positive("targetLatencyMillis", targetLatencyMillis);
        Checks.notNegative("maxPauseMillis", maxPauseMillis);
        Checks.positive("maxAttempts", maxAttempts);
        services = List.copyOf(services);
        Checks.that(!services.isEmpty(), "services of route " + name, services, "at least one service");
    }

    /** Returns whether a call may run again after a run that was interrupted or whose result was lost. */
    public boolean mayRetry() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAMING && isResumable);
    }

    /**
     * Selects a service for a call by weight.
     *
     * @param position the position of the call within the sum of weights, from 0 (inclusive) to 1 (exclusive)
     */
    public String serviceAt(double position) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = position * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
