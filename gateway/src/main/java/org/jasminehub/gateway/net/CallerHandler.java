package org.jasminehub.gateway.net;

/** Handles callers' requests. */
@FunctionalInterface
public interface CallerHandler {
    /** Starts processing {@code request}; it gets exactly one response unless the caller disconnects first. */
    CallerExchange handle(CallerRequest request, CallerResponse response);
}
