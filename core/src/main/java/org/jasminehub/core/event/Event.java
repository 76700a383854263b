package org.jasminehub.core.event;

/**
 * An event or decision to be logged; a record whose components are the fields of the log line.
 *
 * <pre>{@code
 * public record EndpointChosen(String requestId, String endpoint, long estimateMillis) implements Event {
 *     @Override
 *     public EventKind kind() {
 *         return RoutingEventKind.ENDPOINT_CHOSEN;
 *     }
 * }
 * }</pre>
 */
public interface Event {
    /** Returns the kind, which determines the number and severity of the log line. */
    EventKind kind();
}
