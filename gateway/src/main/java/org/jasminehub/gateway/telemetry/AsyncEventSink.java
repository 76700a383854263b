package org.jasminehub.gateway.telemetry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.event.Severity;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Queues events and passes them to a sink that may block, on a thread of its own; emitting never blocks on the sink.
 *
 * <p>If the sink stalls and the queue fills up, normal events are dropped before failures. The next write ends with a
 * {@link LinesDropped} event with the number of dropped events of each kind.
 *
 * <p>Thread-safe.
 */
public final class AsyncEventSink implements EventSink, AutoCloseable {
    /** Delay between the first queued event and the write, so that many events cost one wake-up of the writer. */
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Fraction of the queue that normal events may fill; the rest is reserved for failures. */
    private static final double NORMAL_CAPACITY_SHARE = 0.75;

    private static final long CLOSE_MILLIS = 300;

    private record TimestampedEvent(Event event, long wallMillis) {}

    /** Receives events together with the time at which they were emitted. */
    @FunctionalInterface
    public interface TimestampedSink {
        /** Writes {@code event}; may block. */
        void emitAt(Event event, long wallMillis);
    }

    private final Clock clock;
    private final TimestampedSink delegate;
    private final int capacity;
    private final Thread writer;
    private final Map<String, Long> dropped = new TreeMap<>();
    private List<TimestampedEvent> queue = new ArrayList<>();
    private volatile boolean isClosed;

    /** Creates a sink that queues at most {@code capacity} events, and starts its writer thread. */
    public AsyncEventSink(Clock clock, TimestampedSink delegate, int capacity) {
        this.clock = clock;
        this.delegate = delegate;
        this.capacity = (int) Checks.positive("capacity", capacity);
        this.writer = new Thread(this::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public synchronized void emit(Event event) {
        boolean isFailure = event.kind().severity().compareTo(Severity.WARNING) >= 0;
        if (queue.size() >= (isFailure ? capacity : capacity * NORMAL_CAPACITY_SHARE)) {
            countDropped(event);
            return;
        }
        queue.add(new TimestampedEvent(event, clock.wallMillis()));
        if (queue.size() == 1) {
            notifyAll();
        }
    }

    /** Blocks until an event is queued or the sink is closed. */
    private synchronized void awaitEvent() throws InterruptedException {
        while (queue.isEmpty() && !isClosed) {
            wait();
        }
    }

    private synchronized List<TimestampedEvent> drain() {
        List<TimestampedEvent> drained = queue;
        queue = new ArrayList<>();
        if (!dropped.isEmpty()) {
            String kinds = dropped.entrySet().stream()
                    .map(kind -> kind.getKey() + "=" + kind.getValue())
                    .collect(Collectors.joining(","));
            long lines = dropped.values().stream().mapToLong(Long::longValue).sum();
            drained.add(new TimestampedEvent(new LinesDropped(kinds, lines), clock.wallMillis()));
            dropped.clear();
        }
        return drained;
    }

    private void write() {
        boolean isLast = false;
        while (!isLast) {
            try {
                awaitEvent();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            isLast = isClosed;
            if (!isLast) {
                LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            }
            drain().forEach(this::write);
        }
        drain().forEach(this::write);
    }

    /** Writes one event; an event that cannot be written counts as dropped and does not end the writer. */
    private void write(TimestampedEvent queued) {
        try {
            delegate.emitAt(queued.event(), queued.wallMillis());
        } catch (RuntimeException e) {
            countDropped(queued.event());
        }
    }

    private synchronized void countDropped(Event event) {
        dropped.merge(event.kind().name(), 1L, Long::sum);
    }

    /** Stops the writer after it has written the queued events, and waits a limited time for that. */
    @Override
    public void close() {
        synchronized (this) {
            isClosed = true;
            notifyAll();
        }
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
