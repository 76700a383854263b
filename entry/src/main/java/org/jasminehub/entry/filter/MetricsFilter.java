package org.jasminehub.entry.filter;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * Measures the time to the head of each response and counts failures by error code.
 *
 * <p>Metrics: {@code entry.requests.KIND} (timer) and {@code entry.failures.CODE} (counter). Thread-safe.
 */
public final class MetricsFilter implements RequestFilter {
    private final MetricRegistry metrics;

    /** Creates a filter that reports to {@code metrics}. */
    public MetricsFilter(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public CompletionStage<CallerResponse> handle(RequestContext context, RequestHandler next) {
        Timer.Context timer =
                metrics.timer("entry.requests." + context.route().kind()).time();
        return next.handle(context).whenComplete((response, failure) -> {
            timer.stop();
            count(failure);
        });
    }

    private void count(@Nullable Throwable failure) {
        if (failure != null) {
            metrics.counter("entry.failures."
                            + Failures.toRequestException(failure).code().code())
                    .inc();
        }
    }
}
