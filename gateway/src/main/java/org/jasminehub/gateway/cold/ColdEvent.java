package org.jasminehub.gateway.cold;

import org.jasminehub.core.event.Event;

/**
 * Logged when an endpoint turns cold or warm, or states a cold time that cannot be used.
 *
 * @param kind what happened
 * @param subject the endpoint or the service
 * @param detail the time, the rate or the value that cannot be used
 */
public record ColdEvent(ColdEventKind kind, String subject, String detail) implements Event {}
