package org.jasminehub.gateway.telemetry;

import org.jasminehub.core.event.Event;
import org.jasminehub.runtime.log.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Creates an {@link EventLog} for the first event.
 *
 * <p>The first event is written by the log writer's thread after the listeners are open, so that the set-up of the
 * logging libraries does not delay them.
 *
 * <p>Not thread-safe; used by the log writer's thread only.
 */
public final class DeferredEventLog {
    private final String instance;
    private @Nullable EventLog log;

    /** Creates a log whose lines state {@code instance} as their origin. */
    public DeferredEventLog(String instance) {
        this.instance = instance;
    }

    /** Writes an event that occurred at {@code wallMillis}. */
    public void emitAt(Event event, long wallMillis) {
        EventLog open = log;
        if (open == null) {
            open = new EventLog(instance);
            log = open;
        }
        open.emitAt(event, wallMillis);
    }
}
