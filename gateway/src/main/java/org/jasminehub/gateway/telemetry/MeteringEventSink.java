package org.jasminehub.gateway.telemetry;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.gateway.call.CallEnded;

/**
 * Counts events by kind and calls by error code, records the durations of calls, and forwards all events.
 *
 * <p>Thread-safe.
 */
public final class MeteringEventSink implements EventSink {
    private final EventSink delegate;
    private final MetricRegistry metrics;
    private final Histogram total;
    private final Histogram firstByte;
    private final Histogram queued;

    /** Creates a sink that updates {@code metrics} and forwards events to {@code delegate}. */
    public MeteringEventSink(EventSink delegate, MetricRegistry metrics) {
        this.delegate = delegate;
        this.metrics = metrics;
        this.total = histogram("calls.total.millis");
        this.firstByte = histogram("calls.first.byte.millis");
        this.queued = histogram("calls.queued.millis");
    }

    private Histogram histogram(String name) {
        return metrics.histogram(name, () -> new Histogram(new HdrReservoir()));
    }

    @Override
    public void emit(Event event) {
        metrics.counter("events." + event.kind().name().toLowerCase(Locale.ROOT))
                .inc();
        if (event instanceof CallEnded call) {
            if (!call.code().isEmpty()) {
                metrics.counter("calls.code." + call.code()).inc();
            }
            if (call.sends() > 0) {
                total.update(call.totalMillis());
                queued.update(call.queuedMillis());
            }
            if (call.firstByteMillis() >= 0) {
                firstByte.update(call.firstByteMillis());
            }
        }
        delegate.emit(event);
    }
}
