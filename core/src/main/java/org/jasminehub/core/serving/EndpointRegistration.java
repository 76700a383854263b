package org.jasminehub.core.serving;

/**
 * An endpoint's description of itself with the counter that orders its registrations.
 *
 * @param endpoint the endpoint as registered
 * @param sequence the number of the registration, which increases with each one of the same run; 0 if not stated
 * @param coldTime what the endpoint states about the rest of its cold time
 */
public record EndpointRegistration(EndpointRecord endpoint, long sequence, ColdTime coldTime) {
    /** Creates a registration that states nothing about a cold time. */
    public EndpointRegistration(EndpointRecord endpoint, long sequence) {
        this(endpoint, sequence, ColdTime.NOT_STATED);
    }
}
