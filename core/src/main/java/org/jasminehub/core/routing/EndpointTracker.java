package org.jasminehub.core.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.time.Clock;

/**
 * Keeps what an entry instance knows of its endpoints: their last reports, its own work since, and their delays.
 *
 * <pre>{@code
 * tracker.recordReport(endpoint, report, ageMillis);
 * tracker.recordSent(endpoint, workTokens);
 * EndpointState state = tracker.state(endpoint, failureDomain, prefixHitTokens);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class EndpointTracker {
    private static final int MAX_SENDS = 1024;
    private static final double DELAY_GAIN = 0.2;
    private static final double MAX_DELAY_RATIO = 20;
    private static final double DELAY_HALF_LIFE_MILLIS = 5_000;

    private final Clock clock;
    private final Map<EndpointId, Knowledge> endpoints = new HashMap<>();

    /** Creates a tracker that knows no endpoint yet. */
    public EndpointTracker(Clock clock) {
        this.clock = clock;
    }

    /** Takes a report that was {@code ageMillis} old when it came; one older than the last is ignored. */
    public synchronized void recordReport(EndpointId endpoint, LoadReport report, long ageMillis) {
        Knowledge knowledge = knowledge(endpoint);
        long takenMillis = clock.monotonicMillis() - Math.max(0, ageMillis);
        if (knowledge.hasReport && takenMillis < knowledge.takenMillis) {
            return;
        }
        knowledge.hasReport = true;
        knowledge.report = report;
        knowledge.takenMillis = takenMillis;
        knowledge.dropSendsUntil(takenMillis);
    }

    /** Notes a request sent to the endpoint. */
    public synchronized void recordSent(EndpointId endpoint, long workTokens) {
        Knowledge knowledge = knowledge(endpoint);
        knowledge.outstandingRequests++;
        knowledge.sends.addLast(new Send(clock.monotonicMillis(), workTokens));
        if (knowledge.sends.size() > MAX_SENDS) {
            knowledge.sends.removeFirst();
        }
    }

    /** Notes how long a first token took against its estimate. */
    public synchronized void recordFirstToken(EndpointId endpoint, double estimateMillis, double observedMillis) {
        if (!(estimateMillis > 0) || !(observedMillis >= 0)) {
            return;
        }
        Knowledge knowledge = knowledge(endpoint);
        double ratio = Math.min(MAX_DELAY_RATIO, observedMillis / estimateMillis);
        double present = knowledge.delayRatio(clock.monotonicMillis());
        knowledge.delayRatio = present + DELAY_GAIN * (ratio - present);
        knowledge.delayMillis = clock.monotonicMillis();
    }

    /** Notes that a request sent to the endpoint is over, however it ended. */
    public synchronized void recordFinished(EndpointId endpoint) {
        Knowledge knowledge = knowledge(endpoint);
        knowledge.outstandingRequests = Math.max(0, knowledge.outstandingRequests - 1);
    }

    /** Drops what is known of an endpoint that has left. */
    public synchronized void forget(EndpointId endpoint) {
        endpoints.remove(endpoint);
    }

    /** Returns what is known of the endpoint; its report is {@link LoadReport#unknown} where it has sent none. */
    public synchronized EndpointState state(EndpointId endpoint, FailureDomain failureDomain, long prefixHitTokens) {
        Knowledge knowledge = knowledge(endpoint);
        long nowMillis = clock.monotonicMillis();
        return new EndpointState(
                endpoint,
                failureDomain,
                knowledge.report,
                nowMillis - knowledge.takenMillis,
                knowledge.sends.stream().mapToLong(Send::workTokens).sum(),
                knowledge.outstandingRequests,
                prefixHitTokens,
                knowledge.delayRatio(nowMillis));
    }

    private Knowledge knowledge(EndpointId endpoint) {
        return endpoints.computeIfAbsent(endpoint, key -> new Knowledge(clock.monotonicMillis()));
    }

    private record Send(long sentMillis, long workTokens) {}

    private static final class Knowledge {
        private final ArrayDeque<Send> sends = new ArrayDeque<>();
        private LoadReport report = LoadReport.unknown();
        private boolean hasReport;
        private long takenMillis;
        private int outstandingRequests;
        private double delayRatio = 1;
        private long delayMillis;

        private Knowledge(long nowMillis) {
            this.takenMillis = nowMillis;
            this.delayMillis = nowMillis;
        }

        private void dropSendsUntil(long millis) {
            for (Iterator<Send> i = sends.iterator(); i.hasNext() && i.next().sentMillis() <= millis; ) {
                i.remove();
            }
        }

        /** Returns the ratio as it has faded towards 1, so that an endpoint once slow is tried again. */
        private double delayRatio(long nowMillis) {
            double kept = Math.pow(2, -(nowMillis - delayMillis) / DELAY_HALF_LIFE_MILLIS);
            return 1 + (delayRatio - 1) * kept;
        }
    }
}
