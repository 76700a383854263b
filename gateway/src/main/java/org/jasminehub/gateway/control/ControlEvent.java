package org.jasminehub.gateway.control;

import org.jasminehub.core.event.Event;

/**
 * A change of what this instance believes.
 *
 * @param kind what happened
 * @param subject what it concerns: an endpoint, an instance, a log or a version
 * @param detail what it is now, or why
 * @param ageMillis how old the information was, 0 where it is this process's own
 */
public record ControlEvent(ControlEventKind kind, String subject, String detail, long ageMillis) implements Event {}
