package org.jasminehub.core.drain;

import java.util.function.IntSupplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;

/**
 * The drain of one entry instance. Tracks the phase and emits an event for each phase and a final report.
 *
 * <p>Call {@link #advance()} at intervals until it returns {@link DrainPhase#STOPPED}. Not thread-safe, except
 * for {@link #acceptsRequests}.
 */
public final class EntryDrain {
    private final String instance;
    private final EntryDrainPolicy policy;
    private final IntSupplier openRequests;
    private final Clock clock;
    private final EventSink events;
    private final long startedMillis;
    private volatile DrainPhase phase = DrainPhase.ANNOUNCED;

    /**
     * Starts the drain; the instance must already have been removed from the address list.
     *
     * @param startedMillis when the instance was asked to stop, by the monotonic clock; a busy instance handles the
     *     request later, and its time is limited from the request on
     */
    public EntryDrain(
            String instance,
            EntryDrainPolicy policy,
            IntSupplier openRequests,
            long startedMillis,
            Clock clock,
            EventSink events) {
        this.instance = instance;
        this.policy = policy;
        this.openRequests = openRequests;
        this.clock = clock;
        this.events = events;
        this.startedMillis = startedMillis;
        events.emit(new DrainPhaseChanged(
                instance, phase.name(), clock.monotonicMillis() - startedMillis, openRequests.getAsInt()));
    }

    /** Updates the phase and returns it. */
    public DrainPhase advance() {
        if (phase == DrainPhase.STOPPED) {
            return phase;
        }
        long elapsedMillis = clock.monotonicMillis() - startedMillis;
        int openCount = openRequests.getAsInt();
        DrainPhase next = policy.phase(elapsedMillis, openCount);
        if (next != phase) {
            phase = next;
            events.emit(new DrainPhaseChanged(instance, phase.name(), elapsedMillis, openCount));
        }
        if (phase == DrainPhase.STOPPED) {
            events.emit(new DrainReport(instance, elapsedMillis, openCount, true));
        }
        return phase;
    }

    /** Returns whether the instance has stopped and accepts no requests at all. */
    public boolean isStopped() {
        return phase == DrainPhase.STOPPED;
    }

    /** Returns whether new requests are accepted. */
    public boolean acceptsRequests() {
        return phase == DrainPhase.ANNOUNCED;
    }
}
