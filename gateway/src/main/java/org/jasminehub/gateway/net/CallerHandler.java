package org.jasminehub.gateway.net;

/** Handles callers' requests. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Starts processing {@code request}; it gets exactly one response unless the caller disconnects first.
     *
     * <p>If {@link #needsBody} returned false, the body is {@link RequestBody#DISCARDED}.
     */
    CallerExchange handle(CallerRequest request, CallerResponse response);

    /**
     * Returns whether the body of {@code request} has to be kept until it is complete. Otherwise the request is handled
     * without it, as soon as the bytes that arrived with its head have been read.
     *
     * @param request the request with an empty body, because only its head has been received
     */
    default boolean needsBody(CallerRequest request) {
        return true;
    }
}
