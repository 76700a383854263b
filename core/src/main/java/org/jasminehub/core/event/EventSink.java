package org.jasminehub.core.event;

/** Takes events; implementations must be safe for use by several threads and must not block for long. */
@FunctionalInterface
public interface EventSink {
    /** Takes one event. */
    void emit(Event event);
}
