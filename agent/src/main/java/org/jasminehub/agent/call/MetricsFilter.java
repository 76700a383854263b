package org.jasminehub.agent.call;

import com.codahale.metrics.MetricRegistry;

/**
 * Counts the calls that have ended, by result, and the calls that are running.
 *
 * <p>Metrics: {@code agent.calls.RESULT} (meter) and {@code agent.running} (counter). Thread-safe.
 */
public final class MetricsFilter implements CallFilter {
    private final MetricRegistry metrics;

    /** Creates a filter that registers its metrics in {@code metrics}. */
    public MetricsFilter(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handle(AgentCall call, CallHandler next) {
        metrics.counter("agent.running").inc();
        call.whenEnded(result -> {
            metrics.counter("agent.running").dec();
            metrics.meter("agent.calls." + result).mark();
        });
        next.handle(call);
    }
}
