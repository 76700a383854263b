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
 * Leaves out endpoints that fail far more often than the others.
 *
 * <p>An endpoint is left out only on enough attempts, only if the others do clearly better, and never more than a
 * bounded share of them at a time; so a fault that all of them share ejects none. It comes back after a time that
 * doubles with each ejection in a row.
 *
 * <pre>{@code
 * policy.record(endpoint, succeeded);
 * Set<EndpointId> leftOut = policy.ejected(endpoints);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class OutlierPolicy {
    private static final int FULL_PERCENT = 100;
    private static final int TIMES_WORSE_THAN_OTHERS = 3;
    private static final int MAX_DOUBLINGS = 4;

    private final Clock clock;
    private final OutlierSettings settings;
    private final EventSink events;
    private final Map<EndpointId, History> histories = new HashMap<>();

    /** Creates a policy that leaves out nothing yet. */
    public OutlierPolicy(Clock clock, OutlierSettings settings, EventSink events) {
        this.clock = clock;
        this.settings = settings;
        this.events = events;
    }

    /** Notes how an attempt at the endpoint ended; a refusal as not run is no failure. */
    public synchronized void record(EndpointId endpoint, boolean succeeded) {
        History history = present(endpoint);
        history.attempts++;
        history.failures += succeeded ? 0 : 1;
    }

    /** Drops what is known of an endpoint that has left. */
    public synchronized void forget(EndpointId endpoint) {
        histories.remove(endpoint);
    }

    /** Returns which of {@code endpoints} are left out at present. */
    public synchronized Set<EndpointId> ejected(Collection<EndpointId> endpoints) {
        Set<EndpointId> ejected = new HashSet<>();
        for (EndpointId endpoint : endpoints) {
            if (present(endpoint).ejectedUntilMillis > clock.monotonicMillis()) {
                ejected.add(endpoint);
            }
        }
        int most = endpoints.size() * settings.maxEjectedPercent() / FULL_PERCENT;
        List<EndpointId> suspects = endpoints.stream()
                .filter(endpoint -> !ejected.contains(endpoint) && isOutlier(endpoint, endpoints))
                .sorted(Comparator.comparingDouble(
                        endpoint -> -present(endpoint).failureShare()))
                .limit(Math.max(0, most - ejected.size()))
                .toList();
        suspects.forEach(this::eject);
        ejected.addAll(suspects);
        return ejected;
    }

    private boolean isOutlier(EndpointId endpoint, Collection<EndpointId> endpoints) {
        History history = present(endpoint);
        boolean enough = history.attempts >= settings.minAttempts()
                && history.failureShare() * FULL_PERCENT >= settings.minFailurePercent();
        return enough && history.failureShare() > TIMES_WORSE_THAN_OTHERS * shareOfOthers(endpoint, endpoints);
    }

    /** Returns the median of the other endpoints, so that a few bad ones do not hide each other. */
    private double shareOfOthers(EndpointId endpoint, Collection<EndpointId> endpoints) {
        double[] shares = endpoints.stream()
                .filter(other -> !other.equals(endpoint))
                .map(this::present)
                .filter(history -> history.attempts > 0)
                .mapToDouble(History::failureShare)
                .sorted()
                .toArray();
        return shares.length == 0 ? 1 : shares[shares.length / 2];
    }

    private void eject(EndpointId endpoint) {
        History history = present(endpoint);
        long millis = settings.ejectionMillis() << Math.min(MAX_DOUBLINGS, history.ejectionsInRow);
        events.emit(new EndpointEjected(endpoint.value(), history.failures, history.attempts, millis));
        history.ejectionsInRow++;
        history.ejectedUntilMillis = clock.monotonicMillis() + millis;
        history.startWindow(history.ejectedUntilMillis);
    }

    private History present(EndpointId endpoint) {
        long nowMillis = clock.monotonicMillis();
        History history = histories.computeIfAbsent(endpoint, key -> new History(nowMillis));
        if (nowMillis - history.windowStartMillis >= settings.windowMillis()) {
            history.ejectionsInRow = history.failures == 0 ? 0 : history.ejectionsInRow;
            history.startWindow(nowMillis);
        }
        return history;
    }

    private static final class History {
        private long windowStartMillis;
        private int attempts;
        private int failures;
        private int ejectionsInRow;
        private long ejectedUntilMillis;

        private History(long nowMillis) {
            this.windowStartMillis = nowMillis;
        }

        private double failureShare() {
            return attempts == 0 ? 0 : (double) failures / attempts;
        }

        private void startWindow(long millis) {
            windowStartMillis = millis;
            attempts = 0;
            failures = 0;
        }
    }
}
