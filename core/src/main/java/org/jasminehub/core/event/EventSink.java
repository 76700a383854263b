package org.jasminehub.core.event;

/** Receives events; implementations must be thread-safe and must not block for long. */
@FunctionalInterface
public interface EventSink {
    /** Called for each event. */
    void emit(Event event);
}
