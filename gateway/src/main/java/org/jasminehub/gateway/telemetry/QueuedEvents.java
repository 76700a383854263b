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
 * Hands events to a slow sink on a thread of its own, and never blocks the one that emits.
 *
 * <p>When the sink stalls, lines of normal events are left out before those of failures, and the first line that can be
 * written again says how many of which kind are missing.
 *
 * <p>Safe for use by several threads.
 */
public final class QueuedEvents implements EventSink, AutoCloseable {
    /** The writer lets lines gather for this long, so that many of them cost one wake-up. */
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Part of the queue that normal events may fill; the rest is for failures. */
    private static final double NORMAL_SHARE = 0.75;

    private static final long CLOSE_MILLIS = 300;

    private record TimedEvent(Event event, long wallMillis) {}

    /** Takes events with the time at which they happened. */
    @FunctionalInterface
    public interface TimedSink {
        /** Writes {@code event}; may block. */
        void emitAt(Event event, long wallMillis);
    }

    private final Clock clock;
    private final TimedSink next;
    private final int capacity;
    private final Thread writer;
    private final Map<String, Long> dropped = new TreeMap<>();
    private List<TimedEvent> waiting = new ArrayList<>();
    private volatile boolean isClosed;

    /** Creates a queue of at most {@code capacity} events and starts its writer. */
    public QueuedEvents(Clock clock, TimedSink next, int capacity) {
        this.clock = clock;
        this.next = next;
        this.capacity = (int) Checks.positive("capacity", capacity);
        this.writer = new Thread(this::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public synchronized void emit(Event event) {
        boolean isFailure = event.kind().severity().compareTo(Severity.WARNING) >= 0;
        if (waiting.size() >= (isFailure ? capacity : capacity * NORMAL_SHARE)) {
            dropped.merge(event.kind().name(), 1L, Long::sum);
            return;
        }
        waiting.add(new TimedEvent(event, clock.wallMillis()));
        if (waiting.size() == 1) {
            notifyAll();
        }
    }

    /** Blocks until there is something to write, or the queue is closed. */
    private synchronized void awaitEvent() throws InterruptedException {
        while (waiting.isEmpty() && !isClosed) {
            wait();
        }
    }

    private synchronized List<TimedEvent> take() {
        List<TimedEvent> taken = waiting;
        waiting = new ArrayList<>();
        if (!dropped.isEmpty()) {
            String kinds = dropped.entrySet().stream()
                    .map(kind -> kind.getKey() + "=" + kind.getValue())
                    .collect(Collectors.joining(","));
            long lines = dropped.values().stream().mapToLong(Long::longValue).sum();
            taken.add(new TimedEvent(new LinesDropped(kinds, lines), clock.wallMillis()));
            dropped.clear();
        }
        return taken;
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
            take().forEach(timed -> next.emitAt(timed.event(), timed.wallMillis()));
        }
    }

    /** Writes what waits, for as long as that takes but not for more than a moment. */
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
