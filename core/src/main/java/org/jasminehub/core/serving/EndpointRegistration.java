package org.jasminehub.core.serving;

/**
 * An endpoint's description of itself with the counter that orders its registrations.
 *
 * @param endpoint the endpoint as registered
 * @param sequence the number of the registration, which increases with each one of the same run; 0 if not stated
 */
public record EndpointRegistration(EndpointRecord endpoint, long sequence) {}
