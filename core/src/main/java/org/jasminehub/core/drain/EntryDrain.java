package org.jasminehub.core.drain;

import java.util.function.IntSupplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;

/**
 * The planned stop of one entry instance: its phase, its events and its report.
 *
 * <p>Call {@link #advance()} at intervals until it returns {@link DrainPhase#STOPPED}. Not safe for use by several
 * threads, but for {@link #takesRequests}.
 */
public final class EntryDrain {
    private final String instance;
    private final EntryDrainPolicy policy;
    private final IntSupplier openRequests;
    private final Clock clock;
    private final EventSink events;
    private final long startedMillis;
    private volatile DrainPhase phase = DrainPhase.ANNOUNCED;

    /** Starts the stop; the instance must have left the address list. */
    public EntryDrain(
            String instance, EntryDrainPolicy policy, IntSupplier openRequests, Clock clock, EventSink events) {
        this.instance = instance;
        this.policy = policy;
        this.openRequests = openRequests;
        this.clock = clock;
        this.events = events;
        this.startedMillis = clock.monotonicMillis();
        events.emit(new DrainPhaseChanged(instance, phase.name(), 0, openRequests.getAsInt()));
    }

    /** Returns the present phase. */
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

    /** Tells whether a new request is taken. */
    public boolean takesRequests() {
        return phase == DrainPhase.ANNOUNCED;
    }
}
