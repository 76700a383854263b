package org.jasminehub.core.event;

/**
 * Something that happened or was decided; a record whose components are the fields of its log line.
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
    /** Returns the kind, which gives the line its number and severity. */
    EventKind kind();
}
