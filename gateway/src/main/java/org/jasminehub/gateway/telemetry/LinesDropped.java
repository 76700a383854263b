package org.jasminehub.gateway.telemetry;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/**
 * Log lines that were dropped because the log could not be written fast enough.
 *
 * @param kinds the number of dropped lines of each kind, as {@code KIND=COUNT} separated by commas
 * @param lines the total number of dropped lines
 */
public record LinesDropped(String kinds, long lines) implements Event {
    /** The only kind of this event. */
    enum Kind implements EventKind {
        LINES_DROPPED;

        @Override
        public int number() {
            return 1504;
        }

        @Override
        public Severity severity() {
            return Severity.WARNING;
        }

        @Override
        public String meaning() {
            return "The log could not be written fast enough; the line says what was left out.";
        }
    }

    @Override
    public EventKind kind() {
        return Kind.LINES_DROPPED;
    }
}
