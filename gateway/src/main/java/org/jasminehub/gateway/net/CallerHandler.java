package org.jasminehub.gateway.net;

/** Takes the requests of callers. */
@FunctionalInterface
public interface CallerHandler {
    /** Starts to work on {@code request}; every request gets exactly one answer, unless its caller goes first. */
    CallerExchange handle(CallerRequest request, CallerAnswer answer);
}
