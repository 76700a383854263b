package org.jasminehub.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;

/**
 * Ejects endpoints that fail far more often than the others (outlier detection).
 *
 * <p>An endpoint is ejected only after a minimum number of attempts and only if the others fail clearly less often, so
 * a fault that affects all endpoints ejects none. At most a fixed share of the endpoints is ejected at a time. The
 * duration of an ejection doubles with each consecutive one, up to four times.
 *
 * <pre>{@code
 * policy.record(endpoint, succeeded);
 * Set<EndpointId> ejected = policy.ejected(endpoints);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class OutlierPolicy {
    private static final int FULL_PERCENT = 100;
    private static final int MIN_RATIO_TO_OTHERS = 3;
    private static final int MAX_DOUBLINGS = 4;

    private final Clock clock;
    private final OutlierSettings settings;
    private final EventSink events;
    private final Map<EndpointId, EndpointStats> statsByEndpoint = new HashMap<>();

    /** Creates a policy with no endpoint ejected. */
    public OutlierPolicy(Clock clock, OutlierSettings settings, EventSink events) {
        this.clock = clock;
        this.settings = settings;
        this.events = events;
    }

    /** Records the result of an attempt at {@code endpoint}; a refusal without execution is not a failure. */
    public synchronized void record(EndpointId endpoint, boolean succeeded) {
        EndpointStats stats = currentStats(endpoint);
        stats.attempts++;
        stats.failures += succeeded ? 0 : 1;
    }

    /** Removes the statistics of an endpoint that has left. */
    public synchronized void forget(EndpointId endpoint) {
        statsByEndpoint.remove(endpoint);
    }

    /** Ejects outliers among {@code endpoints} and returns those that are currently ejected. */
    public synchronized Set<EndpointId> ejected(Collection<EndpointId> endpoints) {
        Set<EndpointId> ejected = new HashSet<>();
        for (EndpointId endpoint : endpoints) {
            if (currentStats(endpoint).ejectedUntilMillis > clock.monotonicMillis()) {
                ejected.add(endpoint);
            }
        }
        int maxEjected = endpoints.size() * settings.maxEjectedPercent() / FULL_PERCENT;
        List<EndpointId> outliers = endpoints.stream()
                .filter(endpoint -> !ejected.contains(endpoint) && isOutlier(endpoint, endpoints))
                .sorted(Comparator.comparingDouble(
                        endpoint -> -currentStats(endpoint).failureShare()))
                .limit(Math.max(0, maxEjected - ejected.size()))
                .toList();
        outliers.forEach(this::eject);
        ejected.addAll(outliers);
        return ejected;
    }

    private boolean isOutlier(EndpointId endpoint, Collection<EndpointId> endpoints) {
        EndpointStats stats = currentStats(endpoint);
        boolean hasEnoughEvidence = stats.attempts >= settings.minAttempts()
                && stats.failureShare() * FULL_PERCENT >= settings.minFailurePercent();
        return hasEnoughEvidence
                && stats.failureShare() > MIN_RATIO_TO_OTHERS * medianShareOfOthers(endpoint, endpoints);
    }

    /** Returns the median failure share of the other endpoints, so that a few failing ones do not mask each other. */
    private double medianShareOfOthers(EndpointId endpoint, Collection<EndpointId> endpoints) {
        double[] shares = endpoints.stream()
                .filter(other -> !other.equals(endpoint))
                .map(this::currentStats)
                .filter(stats -> stats.attempts > 0)
                .mapToDouble(EndpointStats::failureShare)
                .sorted()
                .toArray();
        return shares.length == 0 ? 1 : shares[shares.length / 2];
    }

    private void eject(EndpointId endpoint) {
        EndpointStats stats = currentStats(endpoint);
        long durationMillis = settings.ejectionMillis() << Math.min(MAX_DOUBLINGS, stats.consecutiveEjections);
        events.emit(new EndpointEjected(endpoint.value(), stats.failures, stats.attempts, durationMillis));
        stats.consecutiveEjections++;
        stats.ejectedUntilMillis = clock.monotonicMillis() + durationMillis;
        stats.startWindow(stats.ejectedUntilMillis);
    }

    private EndpointStats currentStats(EndpointId endpoint) {
        long nowMillis = clock.monotonicMillis();
        EndpointStats stats = statsByEndpoint.computeIfAbsent(endpoint, key -> new EndpointStats(nowMillis));
        if (nowMillis - stats.windowStartMillis >= settings.windowMillis()) {
            stats.consecutiveEjections = stats.failures == 0 ? 0 : stats.consecutiveEjections;
            stats.startWindow(nowMillis);
        }
        return stats;
    }

    private static final class EndpointStats {
        private long windowStartMillis;
        private int attempts;
        private int failures;
        private int consecutiveEjections;
        private long ejectedUntilMillis;

        private EndpointStats(long nowMillis) {
            this.windowStartMillis = nowMillis;
        }

        private double failureShare() {
            return attempts == 0 ? 0 : (double) failures / attempts;
        }

        private void startWindow(long startMillis) {
            windowStartMillis = startMillis;
            attempts = 0;
            failures = 0;
        }
    }
}
