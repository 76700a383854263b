package org.jasminehub.core.serving;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * One route of the configuration.
 *
 * @param name its name, for log lines
 * @param host the host header it answers to, in lower case
 * @param pathPrefix the start of the paths it takes, with a slash at each end
 * @param kind what may be repeated
 * @param timeoutMillis how long a call may be kept waiting
 * @param targetLatencyMillis within which an answer is on time; for streams, the first event
 * @param maxPauseMillis the longest pause between two events that is still on time, 0 where there is no such bound
 * @param priority its rank, 0 first
 * @param services where its calls go
 * @param maxAttempts how many endpoints one call may be sent to
 * @param isPublic whether calls need no key
 * @param isResumable whether a cut stream may go on at another endpoint
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

    /** Returns whether a call may run a second time after a first run was cut or lost. */
    public boolean mayRepeat() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAMING && isResumable);
    }

    /**
     * Returns the service that takes a call, by weight.
     *
     * @param position where the call falls in the sum of weights, from 0 (included) to 1 (excluded)
     */
    public String serviceAt(double position) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double rest = position * total;
        for (WeightedService part : services) {
            rest -= part.weight();
            if (rest < 0) {
                return part.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
