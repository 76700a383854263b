package org.jasminehub.gateway.control;

import org.jasminehub.core.event.Event;

/**
 * A change of the state that this instance holds about itself or the platform.
 *
 * @param kind the kind of change
 * @param subject the subject: an endpoint, an instance, a log or a version
 * @param detail the new state or the reason
 * @param ageMillis the age of the information, 0 if it originates in this process
 */
public record ControlEvent(ControlEventKind kind, String subject, String detail, long ageMillis) implements Event {}
