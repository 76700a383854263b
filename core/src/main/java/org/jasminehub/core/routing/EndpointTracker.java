package org.jasminehub.core.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.time.Clock;

/**
 * Tracks the state of endpoints at an entry instance: latest load reports, work sent since then, and observed delays.
 *
 * <pre>{@code
 * tracker.recordReport(endpoint, report, ageMillis);
 * tracker.recordSent(endpoint, workTokens);
 * EndpointState state = tracker.state(endpoint, failureDomain, prefixHitTokens);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class EndpointTracker {
    private static final int MAX_RECORDED_SENDS = 1024;
    private static final double DELAY_SMOOTHING = 0.2;
    private static final double MAX_DELAY_RATIO = 20;
    private static final double DELAY_HALF_LIFE_MILLIS = 5_000;

    private final Clock clock;
    private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();

    /** Creates a tracker without endpoints. */
    public EndpointTracker(Clock clock) {
        this.clock = clock;
    }

    /** Records a report that was {@code ageMillis} old on arrival; a report older than the latest one is ignored. */
    public synchronized void recordReport(EndpointId endpoint, LoadReport report, long ageMillis) {
        TrackedEndpoint tracked = tracked(endpoint);
        long reportMillis = clock.monotonicMillis() - Math.max(0, ageMillis);
        if (tracked.hasReport && reportMillis < tracked.reportMillis) {
            return;
        }
        tracked.hasReport = true;
        tracked.report = report;
        tracked.reportMillis = reportMillis;
        tracked.removeSendsUntil(reportMillis);
    }

    /** Records a request sent to the endpoint. */
    public synchronized void recordSent(EndpointId endpoint, long workTokens) {
        TrackedEndpoint tracked = tracked(endpoint);
        tracked.outstandingRequests++;
        tracked.sends.addLast(new Send(clock.monotonicMillis(), workTokens));
        if (tracked.sends.size() > MAX_RECORDED_SENDS) {
            tracked.sends.removeFirst();
        }
    }

    /** Records the observed time to a first token together with its estimate. */
    public synchronized void recordFirstToken(EndpointId endpoint, double estimateMillis, double observedMillis) {
        if (!(estimateMillis > 0) || !(observedMillis >= 0)) {
            return;
        }
        TrackedEndpoint tracked = tracked(endpoint);
        double ratio = Math.min(MAX_DELAY_RATIO, observedMillis / estimateMillis);
        double current = tracked.delayRatio(clock.monotonicMillis());
        tracked.delayRatio = current + DELAY_SMOOTHING * (ratio - current);
        tracked.delayUpdatedMillis = clock.monotonicMillis();
    }

    /** Records that a request sent to the endpoint has ended, successfully or not. */
    public synchronized void recordFinished(EndpointId endpoint) {
        TrackedEndpoint tracked = tracked(endpoint);
        tracked.outstandingRequests = Math.max(0, tracked.outstandingRequests - 1);
    }

    /** Removes the state of an endpoint that no longer exists. */
    public synchronized void forget(EndpointId endpoint) {
        endpoints.remove(endpoint);
    }

    /** Returns the state of the endpoint, with {@link LoadReport#unknown} as its report if it has sent none. */
    public synchronized EndpointState state(EndpointId endpoint, FailureDomain failureDomain, long prefixHitTokens) {
        TrackedEndpoint tracked = tracked(endpoint);
        long nowMillis = clock.monotonicMillis();
        return new EndpointState(
                endpoint,
                failureDomain,
                tracked.report,
                nowMillis - tracked.reportMillis,
                tracked.sends.stream().mapToLong(Send::workTokens).sum(),
                tracked.outstandingRequests,
                prefixHitTokens,
                tracked.delayRatio(nowMillis));
    }

    private TrackedEndpoint tracked(EndpointId endpoint) {
        return endpoints.computeIfAbsent(endpoint, key -> new TrackedEndpoint(clock.monotonicMillis()));
    }

    private record Send(long sentMillis, long workTokens) {}

    private static final class TrackedEndpoint {
        private final ArrayDeque<Send> sends = new ArrayDeque<>();
        private LoadReport report = LoadReport.unknown();
        private boolean hasReport;
        private long reportMillis;
        private int outstandingRequests;
        private double delayRatio = 1;
        private long delayUpdatedMillis;

        private TrackedEndpoint(long nowMillis) {
            this.reportMillis = nowMillis;
            this.delayUpdatedMillis = nowMillis;
        }

        private void removeSendsUntil(long endMillis) {
            for (Iterator<Send> i = sends.iterator(); i.hasNext() && i.next().sentMillis() <= endMillis; ) {
                i.remove();
            }
        }

        /** Returns the ratio, which decays towards 1 over time so that an endpoint that was slow is tried again. */
        private double delayRatio(long nowMillis) {
            double decay = Math.pow(2, -(nowMillis - delayUpdatedMillis) / DELAY_HALF_LIFE_MILLIS);
            return 1 + (delayRatio - 1) * decay;
        }
    }
}
